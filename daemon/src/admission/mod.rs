//! Admission of requests by urgency class, for services whose routes differ in priority. See
//! [`currantlink_core::admission`].
//!
//! The traffic thread records what happens to requests and asks whether one is held back. The control
//! thread exchanges levels with the other gateways.

mod requests;

use std::sync::{Mutex, MutexGuard, PoisonError};

use currantlink_core::admission::{Admission, AdmissionLevel};
use currantlink_core::turns::UrgencyClass;
use currantlink_wire::peers;
use indexmap::IndexMap;

use crate::clock::now_ms;

/// Admission of this gateway to the services whose routes differ in priority.
#[derive(Default)]
pub struct SharedAdmission(Mutex<IndexMap<String, Admission>>);

impl SharedAdmission {
    /// Records the levels in another gateway's hello message. Levels for services for which this gateway
    /// has had no requests are ignored.
    pub fn learn(&self, gateway: &str, levels: Vec<peers::AdmissionLevel>) {
        let mut services = self.lock();
        for announced in levels {
            let class = u8::try_from(announced.urgency).map(UrgencyClass);
            match (services.get_mut(&announced.service), class) {
                (Some(admission), Ok(class)) => {
                    let next_share = f64::from(announced.next_class_share);
                    admission.learn(gateway, AdmissionLevel { class, next_share }, now_ms());
                }
                (None, Ok(_)) => {}
                (_, Err(error)) => {
                    log::warn!(gateway, service = announced.service.as_str(), error:% = error;
                        "admission level ignored: malformed urgency class");
                }
            }
        }
    }

    /// Returns the levels for this gateway's hello messages.
    pub fn announced(&self) -> Vec<peers::AdmissionLevel> {
        let mut services = self.lock();
        let levels = services.iter_mut().filter_map(|(service, admission)| {
            let now = now_ms();
            let announced = admission.announced(now);
            metrics::gauge!("currantlink_admission_level", "service" => service.clone())
                .set(admission.inputs(now).own.classes());
            let level = announced?;
            Some(peers::AdmissionLevel {
                service: service.clone(),
                urgency: u32::from(level.class.0),
                next_class_share: level.next_share as f32,
            })
        });
        levels.collect()
    }

    /// Removes the state of services for which `is_known` does not hold.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.lock().retain(|service, _| is_known(service));
    }

    /// Updates the admission to a service with a number of urgency classes.
    fn with<R>(&self, service: &str, classes: u8, update: impl FnOnce(&mut Admission) -> R) -> R {
        let mut services = self.lock();
        match services.get_mut(service).filter(|admission| admission.classes() == classes) {
            Some(admission) => update(admission),
            None => {
                let mut admission = Admission::new(classes, now_ms());
                let result = update(&mut admission);
                services.insert(service.to_owned(), admission);
                result
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Admission>> {
        // Each update is complete or not begun, so the state stays consistent even if the lock is
        // poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
