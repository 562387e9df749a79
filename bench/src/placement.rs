//! Simulates the rules that choose the backend to load an adapter on.

use currantlink_core::ids::BackendKey;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};
use serde::Serialize;

use crate::args::Placement;
use crate::error::BenchError;
use crate::output;
use crate::rules::{Host, Rule, place};

const HOSTS: usize = 12;
const HOST_MEMORY_MB: u32 = 8_192;
const ADAPTERS: usize = 160;
const SIZES_MB: [u32; 5] = [256, 512, 1_024, 2_048, 4_096];
const ZIPF_EXPONENT: f64 = 0.9;
const REQUESTS: usize = 60_000;
/// Number of requests after which the popularity moves on to other adapters.
const POPULARITY_SHIFT_REQUESTS: usize = 10_000;
const LOAD_DECAY: f64 = 0.999;
const REQUEST_TOKENS: f64 = 100.0;

/// Result of one rule.
#[derive(Clone, Debug, Serialize)]
struct Report {
    rule: String,
    /// Number of times an adapter was loaded.
    loads: u64,
    /// Total size of the loaded adapters.
    loaded_gib: f64,
    /// Adapters that were evicted because no host had enough free memory.
    evictions: u64,
    /// Load of the busiest host over the mean, averaged over all requests.
    max_over_mean: f64,
}

struct Simulation {
    rule: Rule,
    sizes_mb: Vec<u32>,
    loaded: Vec<IndexMap<usize, u32>>,
    load: Vec<f64>,
    report: Report,
}

/// Runs all rules on the same requests and prints one line for each.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn run(options: &Placement) -> Result<(), BenchError> {
    for rule in [Rule::LeastLoaded, Rule::BestFit, Rule::BalancedFit] {
        let report = Simulation::new(rule, options.seed).run(options.seed);
        print(&report, options.json)?;
    }
    Ok(())
}

impl Simulation {
    fn new(rule: Rule, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let report = Report {
            rule: rule.to_string(),
            loads: 0,
            loaded_gib: 0.0,
            evictions: 0,
            max_over_mean: 0.0,
        };
        Self {
            rule,
            sizes_mb: (0..ADAPTERS)
                .map(|_| SIZES_MB[rng.random_range(0..SIZES_MB.len())])
                .collect(),
            loaded: vec![IndexMap::new(); HOSTS],
            load: vec![0.0; HOSTS],
            report,
        }
    }

    fn run(mut self, seed: u64) -> Report {
        let mut rng = StdRng::seed_from_u64(seed + 1);
        let Ok(popularity) = Zipf::new(ADAPTERS as f64, ZIPF_EXPONENT) else {
            return self.report;
        };
        for request in 0..REQUESTS {
            let shift = request / POPULARITY_SHIFT_REQUESTS * ADAPTERS / 7;
            let rank = popularity.sample(&mut rng) as usize - 1;
            self.serve((rank + shift) % ADAPTERS);
        }
        self.report.max_over_mean /= REQUESTS as f64;
        self.report
    }

    fn serve(&mut self, adapter: usize) {
        let host = match self.least_loaded_holder(adapter) {
            Some(host) => host,
            None => self.load_adapter(adapter),
        };
        // Keeps adapters ordered by last use, so that the first one is evicted first.
        if let Some(size) = self.loaded[host].shift_remove(&adapter) {
            self.loaded[host].insert(adapter, size);
        }
        self.load.iter_mut().for_each(|load| *load *= LOAD_DECAY);
        self.load[host] += REQUEST_TOKENS;
        let mean = self.load.iter().sum::<f64>() / HOSTS as f64;
        let max = self.load.iter().copied().fold(0.0, f64::max);
        self.report.max_over_mean += max / mean;
    }

    fn least_loaded_holder(&self, adapter: usize) -> Option<usize> {
        let holders = (0..HOSTS).filter(|&h| self.loaded[h].contains_key(&adapter));
        holders.min_by(|&a, &b| self.load[a].total_cmp(&self.load[b]))
    }

    fn load_adapter(&mut self, adapter: usize) -> usize {
        let size_mb = self.sizes_mb[adapter];
        let hosts: Vec<Host> = (0..HOSTS).map(|h| self.host(h)).collect();
        let host = match place(&hosts, size_mb, self.rule) {
            Some(BackendKey(host)) => host as usize,
            None => self.evict_for(size_mb),
        };
        self.loaded[host].insert(adapter, size_mb);
        self.report.loads += 1;
        self.report.loaded_gib += f64::from(size_mb) / 1_024.0;
        host
    }

    fn host(&self, host: usize) -> Host {
        Host {
            backend: BackendKey(host as u32),
            free_mb: HOST_MEMORY_MB - self.loaded[host].values().sum::<u32>(),
            load_tokens: self.load[host] as u64,
            has_adapter: false,
        }
    }

    /// Evicts least recently used adapters from the least loaded host until `size_mb` is free.
    fn evict_for(&mut self, size_mb: u32) -> usize {
        let host = (0..HOSTS).min_by(|&a, &b| self.load[a].total_cmp(&self.load[b])).unwrap_or(0);
        while self.host(host).free_mb < size_mb {
            self.loaded[host].shift_remove_index(0);
            self.report.evictions += 1;
        }
        host
    }
}

fn print(report: &Report, json: bool) -> Result<(), BenchError> {
    let Report { rule, loads, loaded_gib, evictions, max_over_mean } = report;
    output::report(report, json, || {
        format!(
            "{rule:<13} loads={loads} loaded_gib={loaded_gib:.0} evictions={evictions} \
         max/mean={max_over_mean:.3}"
        )
    })
}
