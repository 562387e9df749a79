//! Selection of the least loaded backend, and rejection if all backends are full or re-forming.

use currantlink_core::fleet::FleetKey;
use currantlink_core::least_loaded::{
    Candidate, Choice, Limits, LoadReport, choose, limit_slow_engines, queue_limit, retry_after_ms,
    sample_size,
};
use currantlink_core::routes::EngineProfile;
use currantlink_core::silence::SILENT_AFTER_RANGE_MS;

fn choose_among_all(candidates: &[Candidate], limits: Limits, draw: u64) -> Choice {
    choose(candidates, limits, 1, candidates.len(), draw)
}

fn queued(queued: u32) -> Limits {
    Limits { running: None, queued }
}

fn candidate(key: u32, own_requests: u32) -> Candidate {
    let (report, ejected, local) = (None, false, true);
    Candidate {
        key: FleetKey(key),
        slots: 4,
        own_requests,
        sent_since_report: 0,
        ended_since_report: 0,
        report,
        ejected,
        local,
    }
}

fn reported(key: u32, active: u32, queued: u32, sent_since_report: u32) -> Candidate {
    let report = Some(LoadReport { active, queued, is_serving: true, ..LoadReport::default() });
    Candidate { report, sent_since_report, ..candidate(key, 0) }
}

#[test]
fn least_loaded() {
    let all = [reported(1, 3, 0, 0), reported(2, 1, 0, 0), reported(3, 1, 0, 1)];
    for draw in 0..50 {
        assert_eq!(choose_among_all(&all, queued(1), draw), Choice::Send(FleetKey(2)));
    }
}

#[test]
fn all_full() {
    let all = [reported(1, 4, 2, 0), reported(2, 4, 1, 0)];
    assert_eq!(choose_among_all(&all, queued(1), 0), Choice::Full { excess: 1 });
    assert_eq!(choose_among_all(&all, queued(2), 0), Choice::Send(FleetKey(2)));
}

#[test]
fn extreme_reports() {
    let most = u32::MAX;
    let odd = Candidate { slots: most, ended_since_report: most, ..reported(1, most, most, most) };
    let full = reported(2, most, 1, 1);
    for limits in [queued(0), queued(most), Limits { running: Some(most), queued: most }] {
        let choice = choose_among_all(&[full, odd, candidate(3, 0)], limits, 0);
        assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
        choose_among_all(&[full], limits, 0);
    }
}

#[test]
fn group_forming() {
    let mut forming = reported(1, 0, 0, 0);
    forming.report = forming.report.map(|r| LoadReport { is_serving: false, ..r });
    assert_eq!(choose_among_all(&[forming], queued(1), 0), Choice::Forming);
    assert_eq!(
        choose_among_all(&[forming, candidate(2, 3)], queued(1), 0),
        Choice::Send(FleetKey(2))
    );
}

#[test]
fn suspended_last() {
    let ejected = Candidate { ejected: true, ..candidate(1, 0) };
    assert_eq!(
        choose_among_all(&[ejected, candidate(2, 3)], queued(1), 0),
        Choice::Send(FleetKey(2))
    );
    assert_eq!(
        choose_among_all(&[ejected], queued(1), 0),
        Choice::Send(FleetKey(1)),
        "used if there is no other backend"
    );
}

#[test]
fn healthy_full() {
    // Guards against rejecting a request because all healthy backends are full while an ejected
    // backend is idle.
    let ejected = Candidate { ejected: true, ..candidate(1, 0) };
    assert_eq!(
        choose_among_all(&[ejected, reported(2, 4, 1, 0)], queued(1), 0),
        Choice::Send(FleetKey(1))
    );
    let all_full = [Candidate { ejected: true, ..reported(1, 4, 3, 0) }, reported(2, 4, 1, 0)];
    assert_eq!(choose_among_all(&all_full, queued(1), 0), Choice::Full { excess: 1 });
}

#[test]
fn ties_spread() {
    let all: Vec<Candidate> = (0..4).map(|key| candidate(key, 0)).collect();
    let mut hits = [0; 4];
    for draw in 0..4_000u64 {
        let mixed = draw.wrapping_mul(0x2545_F491_4F6C_DD1D);
        if let Choice::Send(FleetKey(key)) = choose_among_all(&all, queued(1), mixed) {
            hits[key as usize] += 1;
        }
    }
    assert!(hits.iter().all(|&hits| hits > 500), "{hits:?}");
}

#[test]
fn no_backend() {
    assert_eq!(choose_among_all(&[], queued(1), 0), Choice::NoBackend);
}

#[test]
fn future_report() {
    // Another thread can receive a report after the current time was read, so the report's time is
    // later than `now_ms`.
    let report = LoadReport {
        active: 1,
        queued: 0,
        received_at_ms: 11,
        is_serving: true,
        ..LoadReport::default()
    };
    assert_eq!((report.age_ms(10), report.age_ms(15)), (0, 4));
}

#[test]
fn queue_by_target() {
    assert_eq!(queue_limit(400, 1_200.0, 12, false), 2, "a slot every 100 ms, 280 ms for queueing");
    assert_eq!(queue_limit(100, 30.0, 6, false), 1, "no time for queueing");
    assert_eq!(queue_limit(400, 30.0, 6, true), 0, "requests wait in the gateway");
}

#[test]
fn queue_by_silence() {
    for (duration_ms, slots) in [(600.0, 12), (1_200.0, 12), (2_400.0, 12), (9_000.0, 12), (9e6, 4)]
    {
        let wait_ms = f64::from(queue_limit(4_000, duration_ms, slots, false)) * duration_ms
            / f64::from(slots);
        assert!(wait_ms <= SILENT_AFTER_RANGE_MS.0, "{wait_ms} ms with {duration_ms} ms a request");
    }
}

#[test]
fn ended_since_report() {
    let busy = Candidate { ended_since_report: 1, ..reported(1, 4, 0, 0) };
    assert_eq!(choose_among_all(&[busy], queued(0), 0), Choice::Send(FleetKey(1)));
    let refilled = Candidate { sent_since_report: 1, ..busy };
    assert_eq!(choose_among_all(&[refilled], queued(0), 0), Choice::Full { excess: 1 });
}

#[test]
fn exact_division() {
    for (gateways, room) in [(2, 1), (3, 2), (5, 4), (34, 3)] {
        for number in [0_u64, 7, 1 << 40] {
            let sent = (0..gateways).filter(|&rank| {
                let draw = number.wrapping_add(rank);
                let load =
                    LoadReport { active: 4 - room, is_serving: true, draw, ..Default::default() };
                let backend = Candidate { report: Some(load), ..candidate(1, 0) };
                let choice = choose(&[backend], queued(0), gateways as usize, 1, 0);
                matches!(choice, Choice::Send(_))
            });
            assert_eq!(sent.count(), (room as usize).min(gateways as usize), "{gateways} gateways");
        }
    }
}

#[test]
fn retry_jitter() {
    let times: Vec<u64> = (0..5_000).map(|draw| retry_after_ms(false, 0, 8_000, draw)).collect();
    assert_eq!((times.iter().min(), times.iter().max()), (Some(&300), Some(&1_500)));
    assert!((0..5_000).all(|draw| retry_after_ms(true, 0, 8_000, draw) >= 1_500));
    assert!(
        (0..5_000).all(|draw| retry_after_ms(true, 0, 1_000, draw) <= 300),
        "limited by the remaining time"
    );
    assert!(
        (0..5_000).all(|draw| (900..=2_100).contains(&retry_after_ms(false, 900, 8_000, draw)))
    );
}

#[test]
fn fewer_running() {
    let limits = Limits { running: Some(3), queued: 2 };
    let all = [reported(1, 3, 0, 0), reported(2, 3, 0, 0)];
    assert_eq!(choose_among_all(&all, limits, 0), Choice::Full { excess: 1 });
    assert_eq!(choose_among_all(&[reported(1, 2, 0, 0)], limits, 0), Choice::Send(FleetKey(1)));
    let limits = Limits { running: Some(4), queued: 2 };
    assert_eq!(
        choose_among_all(&all, limits, 0),
        choose_among_all(&all, queued(2), 0),
        "a limit of all slots has no effect"
    );
}

/// Plays gateways that know reports which are up to `REPORT_MS` old, with three quarters of the slots
/// in use. Returns the share of requests that are sent to a backend without a free slot.
fn queued_share(gateways: usize, sample_size: usize) -> f64 {
    const BACKENDS: usize = 72;
    const SLOTS: u32 = 10;
    const REPORT_MS: u64 = 160;
    const DURATION_MS: u64 = 1_600;
    const ARRIVAL_MS: u64 = 3;
    let mut draw = 7_u64;
    let mut random = move || {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        draw
    };
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); BACKENDS];
    let mut reports = vec![LoadReport { is_serving: true, ..LoadReport::default() }; BACKENDS];
    let mut sent = vec![vec![0_u32; BACKENDS]; gateways];
    let mut draws = vec![vec![0_u64; BACKENDS]; gateways];
    let (mut requests, mut queued_requests) = (0_u32, 0_u32);
    for now_ms in (0..20_000).step_by(ARRIVAL_MS as usize) {
        for backend in 0..BACKENDS {
            ends[backend].retain(|&end| end > now_ms);
            if (now_ms + backend as u64 * 2) % REPORT_MS < ARRIVAL_MS {
                reports[backend].active = ends[backend].len() as u32;
                sent.iter_mut().for_each(|sent| sent[backend] = 0);
                draws.iter_mut().for_each(|draws| draws[backend] = random());
            }
        }
        let gateway = random() as usize % gateways;
        let candidates: Vec<Candidate> = (0..BACKENDS)
            .map(|backend| Candidate {
                key: FleetKey(backend as u32),
                slots: SLOTS,
                own_requests: 0,
                sent_since_report: sent[gateway][backend],
                ended_since_report: 0,
                report: Some(LoadReport { draw: draws[gateway][backend], ..reports[backend] }),
                ejected: false,
                local: backend % 3 == gateway % 3,
            })
            .collect();
        let Choice::Send(FleetKey(key)) =
            choose(&candidates, queued(2), gateways, sample_size, random())
        else {
            continue;
        };
        let backend = key as usize;
        sent[gateway][backend] += 1;
        requests += 1;
        queued_requests += u32::from(ends[backend].len() as u32 >= SLOTS);
        ends[backend].push(now_ms + DURATION_MS / 2 + random() % DURATION_MS);
    }
    f64::from(queued_requests) / f64::from(requests)
}

#[test]
fn many_gateways() {
    let (all, sampled) = (queued_share(15, 72), queued_share(15, sample_size(72, 15)));
    // The first token of 95 in 100 requests is to be on time.
    assert!(sampled < 0.05 && sampled < all / 2.0, "{sampled}, {all} if all are compared");
}

#[test]
fn one_gateway() {
    assert_eq!(sample_size(72, 1), 72);
    assert!(queued_share(1, sample_size(72, 1)) < 0.01);
    assert_eq!(sample_size(3, 15), 2);
}

/// Returns how many of `gateways` that know the same report send a request to a backend with `room`, in
/// the mean of many reports.
fn mean_sends(gateways: u64, room: u32) -> f64 {
    const REPORTS: u64 = 2_000;
    let sends = |report: u64| {
        let draws = (0..gateways).map(|gateway| {
            (report * gateways + gateway + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20
        });
        let candidates = draws.map(|draw| {
            let busy = reported(1, 4 - room, 0, 0);
            let report = busy.report.map(|report| LoadReport { draw, ..report });
            Candidate { report, ..busy }
        });
        let sent = candidates.filter(|&candidate| {
            choose(&[candidate], queued(0), gateways as usize, 1, 0) == Choice::Send(FleetKey(1))
        });
        sent.count()
    };
    (0..REPORTS).map(sends).sum::<usize>() as f64 / REPORTS as f64
}

#[test]
fn room_divided() {
    for gateways in [1, 3, 6, 34, 360] {
        let sends = mean_sends(gateways, 1);
        assert!((sends - 1.0).abs() < 0.1, "{sends} of {gateways} gateways use the only free slot");
    }
}

#[test]
fn own_room_refilled() {
    // A gateway whose own request ended may replace it whatever the others do.
    for draw in 0..50 {
        let busy = reported(1, 4, 0, 0);
        let report = busy.report.map(|report| LoadReport { draw, ..report });
        let ended = Candidate { report, ended_since_report: 1, ..busy };
        assert_eq!(choose(&[ended], queued(0), 34, 1, draw), Choice::Send(FleetKey(1)));
    }
}

/// Guards against requests at a rank that delays its whole group, and against a service without any
/// backend because all are slow.
#[test]
fn slow_engines() {
    let engine = EngineProfile {
        slots: 4,
        stride_steps: 6,
        step_ms: 5.0,
        per_request_ms: 1.0,
        prefill_tokens_per_ms: 60.0,
        mean_prompt_tokens: 800.0,
        mean_response_tokens: 140.0,
        experts: None,
    };
    let at = |slowdowns: [f64; 3]| {
        let mut candidates: Vec<Candidate> = (0..3).map(|key| reported(key, 0, 0, 0)).collect();
        for (candidate, slowdown) in candidates.iter_mut().zip(slowdowns) {
            candidate.report = candidate.report.map(|report| LoadReport { slowdown, ..report });
        }
        let slow = limit_slow_engines(&mut candidates, &engine);
        (slow, candidates.iter().map(|c| (c.key.0, c.slots)).collect::<Vec<_>>())
    };
    assert_eq!(at([0.0, 1.0, 1.0]), (0, vec![(0, 4), (1, 4), (2, 4)]));
    assert_eq!(at([1.0, 1.5, 1.0]), (1, vec![(0, 4), (1, 1), (2, 4)]));
    assert_eq!(at([1.0, 2.0, 1.0]), (1, vec![(0, 4), (2, 4)]));
    assert_eq!(at([3.0, 3.0, 3.0]), (0, vec![(0, 4), (1, 4), (2, 4)]));
}
