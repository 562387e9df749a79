//! Evacuations of failure domains in hello messages, logs and metrics. See
//! [`currantlink_core::evacuation`].

use currantlink_core::evacuation::{Announcement, Evacuations, FailureDomain, Learned};
use currantlink_core::position::{Position, StoreEra};
use currantlink_wire::peers::Evacuation;
use derive_more::Display;

use crate::clock::now_ms;

/// From where a process learned of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// From the operator's topic.
    #[display("store")]
    Store,
    /// From another process's hello message.
    #[display("peer")]
    Peer,
}

/// Returns the evacuations for hello messages.
pub fn announced(evacuations: &Evacuations) -> Vec<Evacuation> {
    let announced = evacuations.announced(now_ms()).into_iter();
    let encode = |Announcement { domain, position, is_active }: Announcement| Evacuation {
        failure_domain: domain.as_str().to_owned(),
        era: position.era.0,
        offset: position.offset,
        is_active,
    };
    announced.map(encode).collect()
}

/// Applies the evacuations of a hello message. Returns whether the state has changed.
pub fn learn(evacuations: &mut Evacuations, received: Vec<Evacuation>) -> bool {
    let now = now_ms();
    let mut is_changed = false;
    for Evacuation { failure_domain, era, offset, is_active } in received {
        let domain = match FailureDomain::try_from(failure_domain.as_str()) {
            Ok(domain) => domain,
            Err(error) => {
                log::warn!(error:% = error; "evacuation of a peer rejected");
                continue;
            }
        };
        let position = Position { era: StoreEra(era), offset };
        let announced = Announcement { domain, position, is_active };
        let learned = evacuations.learn(announced.clone(), now);
        is_changed |= learned != Learned::Nothing;
        if learned == Learned::Change {
            report(&announced, Source::Peer, evacuations);
        }
    }
    is_changed
}

/// Logs and counts the begin or the end of an evacuation.
pub fn report(change: &Announcement, source: Source, evacuations: &Evacuations) {
    let (failure_domain, position) = (change.domain.as_str(), change.position);
    let label = match change.is_active {
        true => {
            log::info!(failure_domain, position:% = position, source:% = source; "failure domain evacuated");
            "begun"
        }
        false => {
            log::info!(failure_domain, position:% = position, source:% = source;
                "evacuation of a failure domain lifted");
            "lifted"
        }
    };
    metrics::counter!("currantlink_evacuation_changes_total",
        "change" => label, "source" => source.to_string())
    .increment(1);
    metrics::gauge!("currantlink_evacuated_domains").set(evacuations.active().count() as f64);
}
