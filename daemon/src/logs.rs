//! Structured logs on standard output, one line of key-value pairs per record.
//!
//! Logging never blocks a request: lines pass through a bounded queue to a separate thread, and
//! lines beyond the rate limit are dropped. The number of dropped lines is logged.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::kv::{Key, Value, VisitSource};

/// Environment variable that sets the log level.
pub const LEVEL_VARIABLE: &str = "CURRANTLINK_LOG";

const DEFAULT_LEVEL: &str = "info";
/// Maximum number of lines that wait for a slow reader of standard output.
const QUEUE_CAPACITY: usize = 2_048;
/// Rate limit. A gateway at full load serves some hundred requests per second, with two lines each.
const MAX_LINES_PER_SECOND: u32 = 1_000;

/// Installs the logger.
pub fn init() {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let writer =
        std::thread::Builder::new().name("logs".into()).spawn(move || write_lines(&receiver));
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, DEFAULT_LEVEL);
    let mut builder = env_logger::Builder::from_env(env);
    match writer {
        Ok(_) => {
            let lines =
                QueueWriter { sender, dropped: 0, window_start: Instant::now(), written: 0 };
            builder.target(env_logger::Target::Pipe(Box::new(lines)));
        }
        Err(error) => {
            eprintln!("failed to start the log thread; writing logs synchronously: {error}")
        }
    }
    let result = builder
        .format(|out, record| {
            let time = out.timestamp_millis();
            write!(out, "{time} {} {}", record.level(), record.target())?;
            write!(out, " msg=\"{}\"", record.args())?;
            let mut pairs = PairFormatter(String::new());
            record.key_values().visit(&mut pairs).map_err(io::Error::other)?;
            writeln!(out, "{}", pairs.0)
        })
        .try_init();
    if result.is_err() {
        log::debug!("logger is already installed");
    }
}

/// Waits a fixed time for the last lines to be written before the process exits.
pub fn wait_for_writer() {
    const WRITE_DELAY: Duration = Duration::from_millis(20);
    std::thread::sleep(WRITE_DELAY);
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        // Standard output is closed, so no further line can be written.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Writer that queues the line of each record and drops it if the queue is full or the rate limit
/// is reached.
struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
    dropped: u64,
    window_start: Instant,
    written: u32,
}

impl QueueWriter {
    fn queue(&mut self, line: &[u8]) {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.written = 0;
        }
        let is_below_limit = self.written < MAX_LINES_PER_SECOND;
        if !is_below_limit || self.sender.try_send(line.to_vec()).is_err() {
            self.dropped += 1;
            return;
        }
        self.written += 1;
        if self.dropped > 0 {
            let notice = format!("msg=\"log lines dropped\" count={}\n", self.dropped);
            if self.sender.try_send(notice.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queue(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct PairFormatter(String);

impl<'kvs> VisitSource<'kvs> for PairFormatter {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        use std::fmt::Write;
        let text = value.to_string();
        if text.contains([' ', '"', '\n']) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}
