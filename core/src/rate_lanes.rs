//! Division of a rate among gateways without agreement, by the demand that they announce.
//!
//! A rate is made of lanes. Each lane carries requests with a minimum spacing and has at most one owner,
//! the gateway that ranks first by a hash of the lane weighted with the claims of the gateways. A gateway
//! counts for itself the lowest claim that it has announced within a time that exceeds the age of
//! the others' views, and counts for others the latest claim that it has received. So two gateways never
//! both own a lane: a larger share is taken once all others know of it, and a smaller one takes effect at
//! once. A new owner first waits for the spacing, so the requests of all gateways keep it together.

use std::collections::VecDeque;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const MS_PER_S: f64 = 1_000.0;
/// Length of the window in which requests to a backend are counted.
const COUNTED_WINDOW_MS: f64 = 1_000.0;
/// Largest difference between the times from placement to arrival of two requests: the timeout of a
/// connection (400 ms), and 50 ms for sending on a busy gateway.
const ARRIVAL_JITTER_MS: f64 = 450.0;
/// Number of lanes that a rate has if its bound allows. It limits the number of gateways that may send to
/// a backend at the same moment, and is fine enough to follow the demand of a few gateways.
const MIN_LANES: u32 = 12;
/// Largest number of lanes, which follows from [`MIN_LANES`].
const MAX_LANES: u32 = 2 * MIN_LANES - 1;
/// Time for which a gateway must have announced a claim before it relies on it. Views of other gateways are
/// 2,500 ms old at most, and a division is in use for [`DIVISION_VALID_MS`].
const CLAIM_WINDOW_MS: u64 = 3_500;
/// Time after which a division is not used any more: the process was suspended and knows nothing of the
/// time since.
const DIVISION_VALID_MS: u64 = 500;
/// Time between two samples of the demand from which on the process counts as suspended.
const MAX_SAMPLE_GAP_MS: u64 = 1_000;
/// Time for which gateways that fell silent together still count, since they may be cut off from this one but
/// not from the backends. Cuts between failure domains of some seconds are expected.
const CUT_OFF_MS: u64 = 20_000;
/// Share of silent gateways above which they may be cut off. Fewer of them were usually replaced; if three
/// gateways are replaced one after another, two in five are silent.
const MAX_SILENT_SHARE: f64 = 0.4;
/// Claim of a gateway without demand. It decides only among such gateways.
const MIN_CLAIM_PER_S: f64 = 0.01;
/// Time over which the demand is averaged, in addition to the averaging of the samples.
const AVERAGING_MS: f64 = 2_000.0;
/// Part of the claim by which the demand must differ before the claim is replaced, in addition to what
/// chance explains. Claims that follow chance leave lanes without an owner.
const CLAIM_TOLERANCE: f64 = 0.2;
/// Deviation of the averaged demand that chance explains, for a claim of one request per second: 2.5 standard
/// deviations of a mean over some 3 s (variance 1/6). It grows with the square root of the claim.
const AVERAGE_CHANCE: f64 = 1.0;
/// The same for a single sample, a mean over a second (variance 1/2): 3.5 standard deviations. It shows
/// callers that have come or gone sooner.
const SAMPLE_CHANCE: f64 = 2.5;
/// Age from which a gateway owns lanes although it has not announced claims for long enough, if none of the
/// others has either. Gateways that have send a hello message within this time.
const BEGIN_MS: u64 = 700;
/// Time for which a gateway that knows of a settled one still owns only lanes that it owns in an equal
/// division too. Others divide equally until they know of a settled gateway: their views are 2,500 ms old at
/// most, and a division is in use for [`DIVISION_VALID_MS`].
const EQUAL_LAPSE_MS: u64 = 3_000;
/// Multiple of a lane's rate below which the weight of a gateway falls with the square of its claim: a
/// gateway with few requests leaves a lane unused while it waits for the next one.
const AMPLE_CLAIM: f64 = 4.0;
/// Demand below which a gateway claims nothing.
const MIN_DEMAND_PER_S: f64 = 0.1;

/// Rate that a backend tolerates, and by how much it may be exceeded within a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedRate {
    /// Requests per second.
    pub per_s: f64,
    /// By how much it may be exceeded.
    pub margin: RateMargin,
}

/// By how much the requests of one second may exceed a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateMargin {
    /// Factor by which they may exceed the rate.
    pub overage: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
}

impl BoundedRate {
    /// Returns the largest number of requests in any one second.
    pub fn bound(self) -> f64 {
        (self.per_s * self.margin.overage + self.margin.slack).floor()
    }
}

/// How the lanes of a rate are laid out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LanePlan {
    lanes: u32,
    spacing_ms: f64,
    /// Time by which a request may be early if the one before it was late.
    tolerance_ms: f64,
}

impl From<BoundedRate> for LanePlan {
    /// A lane sends at most n requests within the counted window, longer by the jitter, if n spacings are
    /// longer than it, so the bound allows `bound / n` lanes. A bound below one request allows none.
    fn from(rate: BoundedRate) -> Self {
        let (bound, per_s) = (rate.bound(), rate.per_s);
        let per_lane = (bound / f64::from(MIN_LANES)).floor().max(1.0);
        let lanes = (bound / per_lane).floor().min(f64::from(MAX_LANES));
        let window_ms = COUNTED_WINDOW_MS + ARRIVAL_JITTER_MS + 1.0;
        let spacing_ms = (window_ms / per_lane).max(lanes / per_s * MS_PER_S);
        let tolerance_ms = (per_lane * spacing_ms - window_ms).clamp(0.0, spacing_ms / 2.0);
        Self { lanes: lanes as u32, spacing_ms, tolerance_ms }
    }
}

impl LanePlan {
    /// Returns the number of lanes.
    pub fn lanes(self) -> u32 {
        self.lanes
    }

    /// Returns the weight of a gateway with this claim. It never falls as the claim rises.
    fn weight(self, claim_per_s: f64) -> f64 {
        let claim_per_s = claim_per_s.max(MIN_CLAIM_PER_S);
        let ample_per_s = AMPLE_CLAIM * MS_PER_S / self.spacing_ms;
        claim_per_s * (claim_per_s / ample_per_s).min(1.0)
    }

    /// Returns the requests per second of all lanes together.
    pub fn per_s(self) -> f64 {
        f64::from(self.lanes) / self.spacing_ms * MS_PER_S
    }
}

/// Claims of all gateways to the requests of one service.
#[derive(Clone, Debug)]
pub struct DemandClaims {
    own_hash: u64,
    demand_per_s: f64,
    sampled_at_ms: Option<u64>,
    /// Time since which the demand is sampled without a gap.
    sampled_since_ms: u64,
    /// Whether this gateway has owned lanes before it was settled.
    has_begun: bool,
    /// Time at which it knew first that a gateway, itself included, was settled, if it had begun before.
    settled_known_ms: Option<u64>,
    /// Announced claims, each with the time since which it was announced, oldest first.
    own: VecDeque<(u64, f64)>,
    others: IndexMap<u64, ReceivedClaim>,
    /// Gateways that are known to exist, or `None` while they are unknown.
    known: Option<Vec<u64>>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedClaim {
    received_at_ms: u64,
    per_s: f64,
    /// Whether the gateway has announced claims for long enough to own lanes by them.
    is_settled: bool,
}

/// The gateways among which lanes are divided, with their weights, at one time.
#[derive(Clone, Debug, Default)]
pub struct Competitors {
    /// Time at which they were known.
    at_ms: u64,
    /// This gateway, unless it may own no lane.
    own: Option<(u64, f64)>,
    others: Vec<(u64, f64)>,
    /// The other gateways of an equal division, if this gateway owns only lanes that it owns in it too.
    equal: Option<Vec<u64>>,
}

impl DemandClaims {
    /// Creates the claims of the gateway `own_name`, which knows no others.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_hash: name_hash(own_name),
            demand_per_s: 0.0,
            sampled_at_ms: None,
            sampled_since_ms: 0,
            has_begun: false,
            settled_known_ms: None,
            own: VecDeque::new(),
            others: IndexMap::new(),
            known: None,
        }
    }

    /// Replaces the names of the gateways that are known to exist, or `None` while they are unknown.
    pub fn set_known(&mut self, names: Option<&[String]>) {
        self.known = names.map(|names| names.iter().map(|name| name_hash(name)).collect());
    }

    /// Records the current request rate of this gateway, and returns the claim to announce until the next
    /// sample.
    pub fn sample(&mut self, per_s: f64, now_ms: u64) -> f64 {
        let elapsed_ms = self.sampled_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        self.sampled_at_ms = Some(now_ms);
        let claim_before = self.own.back().map_or(0.0, |&(_, claim)| claim);
        match elapsed_ms {
            Some(elapsed_ms) if elapsed_ms <= MAX_SAMPLE_GAP_MS => {
                let weight = 1.0 - (-(elapsed_ms as f64) / AVERAGING_MS).exp();
                self.demand_per_s += (per_s - self.demand_per_s) * weight;
            }
            // Others may have taken over the lanes while this process was suspended.
            _ => {
                self.own = VecDeque::from([(now_ms, claim_before)]);
                self.demand_per_s = per_s;
                self.sampled_since_ms = now_ms;
                (self.has_begun, self.settled_known_ms) = (false, None);
            }
        }
        if differs(claim_before, per_s, SAMPLE_CHANCE) {
            self.demand_per_s = per_s;
        }
        let claim = match self.demand_per_s {
            demand_per_s if demand_per_s < MIN_DEMAND_PER_S => 0.0,
            // Claims are announced in single precision.
            demand_per_s if differs(claim_before, demand_per_s, AVERAGE_CHANCE) => {
                f64::from(demand_per_s as f32)
            }
            _ => claim_before,
        };
        if claim != claim_before {
            self.own.push_back((now_ms, claim));
        }
        // The claim before the window was announced at its beginning.
        while self.own.get(1).is_some_and(|&(since_ms, _)| is_before_window(since_ms, now_ms)) {
            self.own.pop_front();
        }
        self.others.retain(|_, other| now_ms < other.received_at_ms + CUT_OFF_MS);
        let is_settled = self.is_settled(now_ms);
        self.has_begun |= !is_settled && self.may_begin(now_ms);
        if self.has_begun && (is_settled || self.knows_settled(now_ms)) {
            self.settled_known_ms.get_or_insert(now_ms);
        }
        claim
    }

    /// Returns whether this gateway has announced claims for long enough to own lanes by them.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.own.front().is_some_and(|&(at_ms, _)| is_before_window(at_ms, now_ms))
    }

    /// Records the claim of another gateway, and whether it is settled.
    pub fn record(&mut self, gateway: &str, per_s: f64, is_settled: bool, now_ms: u64) {
        let hash = name_hash(gateway);
        if hash != self.own_hash {
            let per_s = if per_s.is_finite() { per_s.max(0.0) } else { 0.0 };
            let claim = ReceivedClaim { received_at_ms: now_ms, per_s, is_settled };
            self.others.insert(hash, claim);
        }
    }

    /// Returns the gateways among which lanes are divided.
    ///
    /// A gateway that has not announced claims for long enough owns no lane: the others may not know it,
    /// and it may not know them. Gateways that fell silent do not count, unless they are so many that they
    /// may be cut off rather than gone. Gateways that are known to exist but have not been heard are assumed to
    /// claim as much as this one.
    ///
    /// If none of the gateways is settled, as after a loss of power of all, the lanes are divided equally
    /// among those that are known to exist. Until the others know of the first one that settles, it owns only
    /// lanes that it owns in this division too.
    pub fn competitors(&self, plan: LanePlan, now_ms: u64) -> Competitors {
        let silent = self.others.values().filter(|other| !other.is_current(now_ms)).count();
        let is_cut_off = silent as f64 > MAX_SILENT_SHARE * (self.others.len() + 1) as f64;
        let counts = |other: &ReceivedClaim| is_cut_off || other.is_current(now_ms);
        let others = self.others.iter().filter(|(_, other)| counts(other));
        let mut others: Vec<(u64, f64)> =
            others.map(|(&hash, other)| (hash, plan.weight(other.per_s))).collect();
        let Some(known) = self.known.as_ref() else {
            return Competitors { at_ms: now_ms, own: None, others, equal: None };
        };
        let other_known = || known.iter().copied().filter(|hash| *hash != self.own_hash);
        if !self.is_settled(now_ms) {
            let own = self.may_begin(now_ms).then_some((self.own_hash, 1.0));
            let others = other_known().map(|hash| (hash, 1.0)).collect();
            return Competitors { at_ms: now_ms, own, others, equal: None };
        }
        let is_lapsed = |known_ms: u64| now_ms >= known_ms + EQUAL_LAPSE_MS;
        let is_equal = self.has_begun && !self.settled_known_ms.is_some_and(is_lapsed);
        let equal = is_equal.then(|| other_known().collect());
        let claims = self.own.iter().map(|&(_, claim)| claim);
        let own = plan.weight(claims.fold(f64::INFINITY, f64::min));
        let unheard = other_known().filter(|hash| !self.others.contains_key(hash));
        others.extend(unheard.map(|hash| (hash, own)));
        Competitors { at_ms: now_ms, own: Some((self.own_hash, own)), others, equal }
    }
}

impl DemandClaims {
    /// Returns whether an unsettled gateway owns lanes: it knows others, and none of them is settled.
    fn may_begin(&self, now_ms: u64) -> bool {
        let knows_others = self.known.iter().flatten().any(|hash| *hash != self.own_hash);
        knows_others
            && self.sampled_at_ms.is_some()
            && now_ms >= self.sampled_since_ms + BEGIN_MS
            && !self.knows_settled(now_ms)
    }

    fn knows_settled(&self, now_ms: u64) -> bool {
        self.others.values().any(|other| other.is_settled && other.is_current(now_ms))
    }
}

impl ReceivedClaim {
    fn is_current(&self, now_ms: u64) -> bool {
        !is_before_window(self.received_at_ms, now_ms)
    }
}

impl Competitors {
    fn own_lane(&self, seed: u64) -> bool {
        let Some((own_hash, own_weight)) = self.own else {
            return false;
        };
        let own = (score(seed, own_hash, own_weight), own_hash);
        let own_equal = (score(seed, own_hash, 1.0), own_hash);
        let mut equal = self.equal.iter().flatten();
        self.others.iter().all(|&(hash, weight)| own < (score(seed, hash, weight), hash))
            && equal.all(|&hash| own_equal < (score(seed, hash, 1.0), hash))
    }
}

/// The lanes of one backend, as far as this gateway owns them.
#[derive(Clone, Debug)]
pub struct Lanes {
    plan: LanePlan,
    seed: u64,
    divided_at_ms: u64,
    /// When the next request is due on each lane; `None` if another gateway may own the lane.
    due_ms: Vec<Option<f64>>,
}

impl Lanes {
    /// Creates the lanes of the backend `id`; this gateway owns none.
    pub fn new(id: &str, plan: LanePlan) -> Self {
        let due_ms = vec![None; plan.lanes as usize];
        Self { plan, seed: xxh3_64(id.as_bytes()), divided_at_ms: 0, due_ms }
    }

    /// Returns how the lanes are laid out.
    pub fn plan(&self) -> LanePlan {
        self.plan
    }

    /// Divides the lanes among gateways.
    pub fn divide(&mut self, competitors: &Competitors, now_ms: u64) {
        let LanePlan { spacing_ms, tolerance_ms, .. } = self.plan;
        let lapsed = now_ms.saturating_sub(self.divided_at_ms) > DIVISION_VALID_MS;
        self.divided_at_ms = competitors.at_ms;
        for (lane, due_ms) in (0..).zip(&mut self.due_ms) {
            let seed = xxh3_64_with_seed(&u64::to_le_bytes(lane), self.seed);
            *due_ms = match (competitors.own_lane(seed), *due_ms) {
                (false, _) => None,
                (true, Some(due_ms)) if !lapsed => Some(due_ms),
                // The owner before may just have sent a request.
                (true, _) => Some(now_ms as f64 + spacing_ms + tolerance_ms),
            };
        }
    }

    /// Returns the number of lanes that this gateway owns.
    pub fn owned(&self) -> usize {
        self.due_ms.iter().flatten().count()
    }

    /// Returns the time until a request may be sent, or `None` if this gateway owns no lane.
    pub fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        if now_ms.saturating_sub(self.divided_at_ms) > DIVISION_VALID_MS {
            return None;
        }
        let due_ms = self.due_ms.iter().flatten().copied().min_by(f64::total_cmp)?;
        let wait_ms = due_ms - self.plan.tolerance_ms - now_ms as f64;
        Some(wait_ms.max(0.0).ceil() as u64)
    }

    /// Counts a request on the lane that is due first.
    pub fn record_request(&mut self, now_ms: u64) {
        let lanes = self.due_ms.iter_mut().flatten();
        if let Some(due_ms) = lanes.min_by(|a, b| a.total_cmp(b)) {
            *due_ms = due_ms.max(now_ms as f64) + self.plan.spacing_ms;
        }
    }
}

/// Returns whether a demand differs from the claim by more than the tolerance and chance.
fn differs(claim_per_s: f64, demand_per_s: f64, chance: f64) -> bool {
    let margin = chance * claim_per_s.sqrt() + CLAIM_TOLERANCE * claim_per_s;
    (demand_per_s - claim_per_s).abs() > margin.max(MIN_DEMAND_PER_S)
}

fn is_before_window(at_ms: u64, now_ms: u64) -> bool {
    at_ms + CLAIM_WINDOW_MS <= now_ms
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the rank of a gateway for a lane; the lowest one owns it. The chance to have the lowest one is
/// proportional to the weight.
fn score(seed: u64, gateway: u64, weight: f64) -> f64 {
    const SIGNIFICANT_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&gateway.to_le_bytes(), seed) >> (u64::BITS - SIGNIFICANT_BITS);
    let uniform = (hash as f64 + 0.5) / (1_u64 << SIGNIFICANT_BITS) as f64;
    -uniform.ln() / weight
}
