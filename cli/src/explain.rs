//! The `explain` subcommand.

use std::fs;

use crate::args::Explain;
use crate::error::CliError;
use crate::logline::LogLine;
use crate::output;

impl Explain {
    /// Prints a request's log lines, ordered by time, and the cause of its outcome.
    ///
    /// # Errors
    ///
    /// Fails if a log cannot be read or no line names the request.
    pub fn run(&self) -> Result<(), CliError> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = fs::read_to_string(path);
            let text = text.map_err(|source| CliError::File {
                action: "read",
                path: path.clone(),
                source,
            })?;
            let parsed = text.lines().filter_map(LogLine::parse);
            lines.extend(parsed.filter(|line| line.get("request") == Some(&self.request)));
        }
        if lines.is_empty() {
            return Err(CliError::UnknownRequest { request: self.request.clone() });
        }
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        for LogLine { time, message, pairs } in &lines {
            let pairs = pairs.iter().filter(|(key, _)| *key != "request");
            let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
            output::line(format!("{time} {message}: {}", pairs.join(" ")))?;
        }
        output::line(format!("cause: {}", cause(&lines)))
    }
}

/// Returns one sentence with the cause of the request's outcome.
fn cause(lines: &[LogLine]) -> String {
    let last = |message: &str| lines.iter().rfind(|line| line.message == message);
    let value = |line: Option<&LogLine>, key| {
        line.and_then(|line| line.get(key)).unwrap_or("unknown").to_owned()
    };
    let failed = last("attempt failed");
    let cold = last("backends are cold and at their limits");
    let failed_attempt = || format!("{} ({})", value(failed, "backend"), value(failed, "error"));
    if let Some(interrupted) = last("stream ended early") {
        let event = value(Some(interrupted), "last_event");
        return match interrupted.get("reason") {
            Some("timeout") => format!("the route's time was over after event {event}"),
            Some("no-event") => format!(
                "broken off after event {event}: no other one came for as long as its caller waits"
            ),
            Some("silent") => format!(
                "backend {} fell silent after event {event}, and no other one took the stream over",
                value(last("request placed"), "backend")
            ),
            _ => format!("broken off after event {event} with backend {}", failed_attempt()),
        };
    }
    if let Some(rejected) = last("request rejected") {
        return match rejected.get("outcome").unwrap_or_default() {
            "answer-lost" => format!("may have run; lost with backend {}", failed_attempt()),
            "timeout" => "may have run; no answer before its time was over".to_owned(),
            "no-event" => format!(
                "may have run; no event came from backend {} for as long as its caller waits",
                value(last("request placed"), "backend")
            ),
            "not-run: late" => "not run; its first event would have come too late".to_owned(),
            "not-run: full" => full_cause(last("backends full")),
            "not-run: held-back" => format!(
                "not run; held back for more urgent requests: class {}, {} classes admitted",
                value(last("request held back for more urgent ones"), "class"),
                value(last("request held back for more urgent ones"), "level")
            ),
            "not-run: rate-limited" if cold.is_some() => format!(
                "not run; its backends were cold and got as much as they tolerate, the next one takes a \
                 request after {} ms",
                value(cold, "wait_ms")
            ),
            "not-run: rate-limited" => format!(
                "not run; its backends were at the rate limits that they name, the next one for {} ms",
                value(last("backends at their rate limits"), "wait_ms")
            ),
            "not-run: paused" => format!(
                "not run; its backends have requested pauses, the next one ends in {} ms",
                value(last("backends have requested pauses"), "wait_ms")
            ),
            "not-run: suspected" => format!(
                "not run; another request like it was on trial for crashes of backends (fingerprint {})",
                value(last("another request like this one is on trial"), "fingerprint")
            ),
            "not-run: forming" => {
                "not run; the group of its backends stood still or was formed again".to_owned()
            }
            "not-run: crashes-backends" => format!(
                "not run; requests like it crash backends (fingerprint {}, prompt parts {})",
                value(last("requests like this one crash backends"), "fingerprint"),
                value(last("requests like this one crash backends"), "prompt_parts")
            ),
            "not-run: evacuated" => {
                "not run; all backends of its service are in evacuated failure domains".to_owned()
            }
            "not-run: no-backend" => "not run; no backend of its service was listed".to_owned(),
            "not-run: refused-by-backends" => {
                "not run; every backend that was asked refused it".to_owned()
            }
            "unknown-key" => "its key is in no configuration in force here".to_owned(),
            "no-route" => "no route of the configuration in force matches it".to_owned(),
            "no-configuration" => "the gateway had just started and knew none".to_owned(),
            other => other.to_owned(),
        };
    }
    if let Some(departure) = last("caller left") {
        let left = format!("the caller left after {} ms", value(Some(departure), "after_ms"));
        let waited = |key| value(Some(departure), key);
        return match departure.get("waits_for") {
            Some("gateway") => format!("{left}, before it was sent to a backend"),
            Some(waits_for) => format!(
                "{left}, {} ms after it was sent to {} (send {}, silent: {}), waiting for the {waits_for}",
                waited("since_sent_ms"),
                waited("backend"),
                waited("sends"),
                waited("is_silent"),
            ),
            None => left,
        };
    }
    let placed = last("request placed");
    match last("request served") {
        Some(served) => {
            let pause_ms = last("stream ended").and_then(|line| line.get("longest_pause_ms"));
            let pause = pause_ms.map(|ms| format!("; longest pause between events {ms} ms"));
            format!(
                "served after {} ms by {}, which had {} requests when it was placed (report of {} ms before){}",
                value(Some(served), "after_ms"),
                value(Some(served), "backend"),
                value(placed, "load"),
                value(placed, "report_age_ms"),
                pause.unwrap_or_default(),
            )
        }
        None if placed.is_some() => "still under way".to_owned(),
        None => "no line says".to_owned(),
    }
}

/// Returns the limit that stopped backends from accepting the request: the running limit that
/// keeps pauses within streams short, or their slots and queues.
fn full_cause(line: Option<&LogLine>) -> String {
    let number = |key| line.and_then(|line| line.get(key)?.parse::<u32>().ok());
    match (number("running_limit"), number("slots")) {
        (Some(limit), Some(slots)) if limit < slots => {
            format!(
                "not run; with more than {limit} requests at each backend streams pause too long"
            )
        }
        _ => "not run; every backend had its slots and queue full".to_owned(),
    }
}
