//! Settings of the gateway and agent roles.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use currantlink_core::fanout::LinkRate;
use currantlink_core::memory_budget::BudgetLimits;
use currantlink_core::rate_lanes::RateMargin;
use currantlink_core::share::RetryBudgetLimits;
use currantlink_wire::settings::DeployedSettings;

use crate::settings::{Checker, SettingsError, read};

const MS_PER_S: f64 = 1_000.0;
const BYTES_PER_MS_PER_MBPS: f64 = 125.0;
const MAX_GRACE_S: f64 = 86_400.0;
/// Factor by which the requests of a cold backend may exceed its rate if the platform states none. With no
/// requests in addition, it is the lower one of the bounds that the platform uses.
const DEFAULT_COLD_OVERAGE: f64 = 1.5;

/// Validated settings that the gateway and agent roles share.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    raw: DeployedSettings,
    /// IP address of this instance.
    pub ip: IpAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the metrics endpoint, if enabled.
    pub metrics_address: Option<SocketAddr>,
}

/// Validated settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings shared by both roles.
    pub common: CommonSettings,
    /// Address of the HTTP listener for callers.
    pub callers_address: SocketAddr,
    /// Address of the platform's readiness probe.
    pub readiness_address: SocketAddr,
}

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings shared by both roles.
    pub common: CommonSettings,
    /// Address of the backend on the same instance.
    pub backend_address: SocketAddr,
}

impl CommonSettings {
    /// Returns the settings as read from the file.
    pub fn raw(&self) -> &DeployedSettings {
        &self.raw
    }

    /// Returns the name of this process.
    pub fn name(&self) -> &str {
        &self.raw.name
    }

    /// Returns the failure domain.
    pub fn failure_domain(&self) -> &str {
        &self.raw.failure_domain
    }

    /// Returns the address for datagrams and links from other processes.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.raw.link_port as u16)
    }

    /// Returns the rate of this instance's link, or `None` if it is not limited.
    pub fn link_rate(&self) -> Option<LinkRate> {
        let bytes_per_ms = self.raw.link_mbps * BYTES_PER_MS_PER_MBPS;
        (bytes_per_ms > 0.0).then_some(LinkRate { bytes_per_ms })
    }

    /// Returns the limits on what callers make this process hold.
    pub fn budget_limits(&self) -> BudgetLimits {
        BudgetLimits::new(self.raw.memory_mb, self.raw.max_fds)
    }

    /// Returns the grace period, which is the time from SIGTERM until the process must have exited.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.raw.grace_s)
    }

    /// Returns the retry budget shared by all gateways.
    pub fn retry_budget(&self) -> RetryBudgetLimits {
        RetryBudgetLimits {
            ratio: self.raw.retry_ratio,
            slack: self.raw.retry_slack,
            window_ms: (self.raw.retry_window_s * MS_PER_S) as u64,
        }
    }

    /// Returns by how much the requests of one second may exceed the rate of a cold backend.
    pub fn cold_margin(&self) -> RateMargin {
        let overage = match self.raw.cold_overage {
            0.0 => DEFAULT_COLD_OVERAGE,
            overage => overage,
        };
        RateMargin { overage, slack: self.raw.cold_slack }
    }

    fn check(raw: DeployedSettings, checker: &Checker<'_>) -> Result<Self, SettingsError> {
        checker.name("name", &raw.name)?;
        let store_address = checker.address("store_address", &raw.store_address)?;
        let metrics_address = match raw.metrics_address.as_str() {
            "" => None,
            address => Some(checker.address("metrics_address", address)?),
        };
        let ip = raw.ip.parse().map_err(|_| checker.error("ip", &raw.ip, "an IP address"))?;
        if u16::try_from(raw.link_port).ok().is_none_or(|port| port == 0) {
            return Err(checker.error(
                "link_port",
                &raw.link_port.to_string(),
                "a port from 1 to 65535",
            ));
        }
        let numbers = [
            ("grace_s", raw.grace_s),
            ("retry_ratio", raw.retry_ratio),
            ("retry_slack", raw.retry_slack),
            ("retry_window_s", raw.retry_window_s),
            ("link_mbps", raw.link_mbps),
            ("cold_overage", raw.cold_overage),
            ("cold_slack", raw.cold_slack),
        ];
        for (field, value) in numbers {
            if !value.is_finite() || value < 0.0 {
                return Err(checker.error(
                    field,
                    &value.to_string(),
                    "a finite number of 0 or more",
                ));
            }
        }
        if raw.grace_s > MAX_GRACE_S {
            return Err(checker.error("grace_s", &raw.grace_s.to_string(), "at most 86400"));
        }
        Ok(Self { raw, ip, store_address, metrics_address })
    }
}

/// Reads and checks the settings of a gateway.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is invalid; the error names both.
pub fn load_gateway(path: &Path) -> Result<GatewaySettings, SettingsError> {
    let raw: DeployedSettings = read(path)?;
    let checker = Checker { path };
    let callers_address = checker.address("callers_address", &raw.callers_address)?;
    let readiness_address = checker.address("readiness_address", &raw.readiness_address)?;
    Ok(GatewaySettings {
        common: CommonSettings::check(raw, &checker)?,
        callers_address,
        readiness_address,
    })
}

/// Reads and checks the settings of an agent.
///
/// # Errors
///
/// Fails if the file cannot be read or a field is invalid; the error names both.
pub fn load_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    let raw: DeployedSettings = read(path)?;
    let checker = Checker { path };
    let backend_address = checker.address("backend_address", &raw.backend_address)?;
    Ok(AgentSettings { common: CommonSettings::check(raw, &checker)?, backend_address })
}
