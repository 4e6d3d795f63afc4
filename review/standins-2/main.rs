//! The stand-ins of the cases 6 to 10: `standins CASE DIRECTORY RECORD`. DIRECTORY is a temporary folder,
//! RECORD is the file that gets what was sent, answered and run. `TROUBLE=0` leaves the disruption out.
//! Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cases;
mod json;
mod world;

use std::time::Duration;

use world::{Record, cannot_run, end, start_watchdog};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory, record] = &arguments[..] else { cannot_run("arguments: CASE DIRECTORY RECORD") };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
    start_watchdog(Duration::from_secs(110));
    let record = Record::create(record);
    record.write(&format!("case {case}, trouble: {trouble}"));
    let run = cases::find(case).unwrap_or_else(|| cannot_run("no such case"));
    let broken = run(&record, directory, trouble);
    match &broken {
        Some(how) => record.write(&format!("BROKEN: {how}")),
        None => record.write("HELD"),
    }
    println!("{}", broken.as_deref().unwrap_or("held"));
    end(i32::from(broken.is_some()))
}
