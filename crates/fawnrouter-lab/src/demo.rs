//! The demonstration: a gateway process and three stand-in switches on loopback, with generated calls or
//! waiting for a client.

use std::io::{self, Write};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Timer;

use crate::day::{DayOptions, Lab};
use crate::fleet::GatewayProcess;
use crate::report::Report;
use crate::script::Script;

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Make no calls and run until SIGINT.
    pub hold: bool,
    /// Time during which calls are made, in seconds.
    pub seconds: u64,
    /// Seed of the callers and the gateway.
    pub seed: u64,
}

const DEMO_SCRIPT: &str = include_str!("../../../examples/demo-day.yaml");

/// Runs the demonstration. Returns `None` after `--hold`.
///
/// # Errors
/// If a process cannot be started or a socket cannot be opened.
pub fn run_demo(options: DemoOptions, stop: impl Future<Output = ()>) -> io::Result<Option<Report>> {
    let mut script = Script::parse("demo-day.yaml", DEMO_SCRIPT).map_err(io::Error::other)?;
    script.seconds = options.seconds.max(1);
    let executor = Rc::new(LocalExecutor::new());
    let day = DayOptions { seed: options.seed, baseline: false, progress: true, announce: true };
    let all = async {
        let lab = Lab::open(script, options.seed, &executor).await?;
        if !options.hold {
            return lab.run(day).await.map(Some);
        }
        let mut gateways = lab.start_gateways(day).await?;
        for gateway in &gateways {
            println!("{}", gateway.ready_line);
        }
        io::stdout().flush()?;
        eprintln!("waiting without calls; connect a client with sub-protocol `sip`, end with SIGINT");
        stop.await;
        gateways.iter().for_each(GatewayProcess::terminate);
        for gateway in &mut gateways {
            while gateway.exit_success().is_none() {
                Timer::after(std::time::Duration::from_millis(10)).await;
            }
        }
        Ok(None)
    };
    async_io::block_on(executor.run(all))
}
