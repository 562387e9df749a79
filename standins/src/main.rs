//! Command line that runs one stand-in as a process.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use currantlink_standins::engine::{Group, Options};
use currantlink_standins::list::{Instance, Instances, List};
use currantlink_standins::log::Log;
use currantlink_standins::plain::PlainService;
use currantlink_standins::ports;
use currantlink_standins::relay::Relay;
use currantlink_standins::store::WeightStore;
use currantlink_standins::tally::{self, Tally};

/// Run stand-ins for the platform and the backends.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Args {
    /// Run an append-only log.
    #[bpaf(command)]
    Log {
        /// Address to listen on.
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddr,
    },
    /// Run an instance list.
    #[bpaf(command)]
    List {
        /// Address to listen on.
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddr,
        /// Live instance as NAME=IP:PORT, visible without lag.
        #[bpaf(argument("NAME=IP:PORT"), many)]
        instance: Vec<String>,
        /// Time after which a change becomes visible.
        #[bpaf(argument("MS"), fallback(2_000))]
        lag_ms: u64,
    },
    /// Run a weight store.
    #[bpaf(command)]
    Store {
        /// Address to listen on.
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddr,
        /// Duration of one transfer.
        #[bpaf(argument("MS"), fallback(50))]
        transfer_ms: u64,
    },
    /// Run a group of ranks behind one or more backends.
    #[bpaf(command)]
    Engine {
        /// Address of each backend.
        #[bpaf(argument("IP:PORT"), some("an engine requires at least one address"))]
        address: Vec<SocketAddr>,
        /// Number of ranks per backend.
        #[bpaf(argument("COUNT"), fallback(2))]
        ranks: usize,
        /// Duration of one step.
        #[bpaf(argument("MS"), fallback(5))]
        step_ms: u64,
        /// Delay before an order is applied.
        #[bpaf(argument("MS"), fallback(0))]
        order_ms: u64,
        /// Refuse orders with an outdated fencing token.
        checks_fence: bool,
    },
    /// Run a plain service.
    #[bpaf(command)]
    Plain {
        /// Address to listen on.
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddr,
        /// Name of the service.
        #[bpaf(argument("NAME"))]
        name: String,
        /// Duration of one request.
        #[bpaf(argument("MS"), fallback(0))]
        time_ms: u64,
    },
    /// Print free ports of the loopback address.
    #[bpaf(command)]
    Ports {
        /// Number of ports.
        #[bpaf(positional("COUNT"))]
        count: usize,
    },
    /// Compare the runs recorded by backends with the requests sent.
    #[bpaf(command)]
    Tally {
        /// Address of a plain service.
        #[bpaf(argument("IP:PORT"), many)]
        plain: Vec<SocketAddr>,
        /// Address of one backend per group.
        #[bpaf(argument("IP:PORT"), many)]
        engine: Vec<SocketAddr>,
        /// Number of requests sent.
        #[bpaf(argument("COUNT"))]
        sent: u64,
    },
    /// Run a TCP relay.
    #[bpaf(command)]
    Relay {
        /// Address to listen on.
        #[bpaf(argument("IP:PORT"))]
        address: SocketAddr,
        /// Address to connect to.
        #[bpaf(argument("IP:PORT"))]
        target: SocketAddr,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(args().run()).await {
        Ok(true) => std::future::pending().await,
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantlink-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the selected subcommand; returns whether the process must keep serving.
async fn run(args: Args) -> io::Result<bool> {
    let bound = match args {
        Args::Log { address } => vec![Log::default().serve(address).await?],
        Args::List { address, instance, lag_ms } => {
            let list = List::new(Duration::from_millis(lag_ms));
            list.set_immediately(parse_instances(&instance));
            vec![list.serve(address).await?]
        }
        Args::Ports { count } => return Ok(print_ports(count)),
        Args::Tally { plain, engine, sent } => return print_tally(&plain, &engine, sent).await,
        Args::Store { address, transfer_ms } => {
            vec![WeightStore::new(Duration::from_millis(transfer_ms)).serve(address).await?]
        }
        Args::Engine { address, ranks, step_ms, order_ms, checks_fence } => {
            let options = Options {
                backends: address.len(),
                ranks_per_backend: ranks,
                step_duration: Duration::from_millis(step_ms),
                checks_fence,
                order_duration: Duration::from_millis(order_ms),
                ..Options::default()
            };
            serve_engine(options, &address).await?
        }
        Args::Plain { address, name, time_ms } => {
            let plain = PlainService::new(name, Duration::from_millis(time_ms));
            vec![plain.serve(address).await?]
        }
        Args::Relay { address, target } => vec![Relay::new(target).serve(address).await?],
    };
    for address in bound {
        println!("{address}");
    }
    Ok(true)
}

fn parse_instances(instances: &[String]) -> Instances {
    let pairs = instances.iter().filter_map(|pair| pair.split_once('='));
    let instances = pairs.map(|(name, address)| Instance {
        name: name.to_owned(),
        address: address.to_owned(),
        state: String::from("live"),
    });
    Instances { instances: instances.collect() }
}

fn print_ports(count: usize) -> bool {
    for _ in 0..count {
        println!("{}", ports::free_address().port());
    }
    false
}

async fn print_tally(plain: &[SocketAddr], engine: &[SocketAddr], sent: u64) -> io::Result<bool> {
    let counts = tally::tally(plain, engine, sent).await.map_err(io::Error::other)?;
    let Tally { answered, lost, doubled } = counts;
    println!("{answered} answered, {lost} lost, {doubled} doubled");
    Ok(false)
}

async fn serve_engine(options: Options, addresses: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
    let group = Group::start(options);
    let mut bound = Vec::new();
    for (backend, &address) in addresses.iter().enumerate() {
        bound.push(group.serve(backend, address).await?);
    }
    Ok(bound)
}
