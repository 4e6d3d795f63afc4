//! Runs several simulations in parallel. Only for counts and recordings, which do not depend on what else
//! runs.

use std::num::NonZero;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::thread::{available_parallelism, scope};

use crate::hollow::HollowError;
use crate::hollow::meter::Meter;
use crate::hollow::outcome::Outcome;
use crate::hollow::recording::Recording;
use crate::hollow::scenario::Scenario;
use crate::hollow::simulation::Simulation;

/// Each simulation may hold more than a gigabyte of memory.
const MAX_PARALLEL_JOBS: usize = 4;

/// A simulation to run.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub name: String,
    pub scenario: Scenario,
    /// The gateway whose inputs are recorded.
    pub recorded_gateway: Option<usize>,
}

/// The result of a job.
#[derive(Debug)]
pub(super) struct JobResult {
    pub outcome: Outcome,
    pub recording: Recording,
}

enum Progress {
    Started(String),
    Done(usize, Box<Result<JobResult, HollowError>>),
}

/// Runs all jobs and returns their results in the given order. The largest jobs start first.
pub(super) fn run_all(jobs: &[Job], progress: &mut dyn FnMut(&str)) -> Result<Vec<JobResult>, HollowError> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|index| estimated_work(&jobs[*index].scenario));
    let pending = Mutex::new(order);
    let (reports, received) = channel();
    let mut results: Vec<(usize, JobResult)> = Vec::new();
    scope(|scope| {
        for _ in 0..parallel_jobs() {
            let (pending, reports) = (&pending, reports.clone());
            scope.spawn(move || run_jobs(jobs, pending, &reports));
        }
        drop(reports);
        for one in received {
            match one {
                Progress::Started(name) => progress(&name),
                Progress::Done(index, result) => results.push((index, (*result)?)),
            }
        }
        Ok::<(), HollowError>(())
    })?;
    results.sort_by_key(|(index, _)| *index);
    Ok(results.into_iter().map(|(_, result)| result).collect())
}

/// Rough estimate of a simulation's work: calls and gateway seconds.
fn estimated_work(scenario: &Scenario) -> u64 {
    let seconds = (scenario.measurement_end() + scenario.settle).as_secs_f64();
    let per_gateway = seconds + scenario.traffic.calls_per_second * scenario.traffic.seconds as f64;
    (f64::from(scenario.gateways) * per_gateway) as u64
}

fn parallel_jobs() -> usize {
    available_parallelism().map_or(1, NonZero::get).min(MAX_PARALLEL_JOBS)
}

fn run_jobs(jobs: &[Job], pending: &Mutex<Vec<usize>>, reports: &Sender<Progress>) {
    // A poisoned lock is harmless: the list is consistent between any two operations.
    let next = || pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner).pop();
    while let Some(index) = next() {
        let job = &jobs[index];
        // The receiver is gone after an error in another job; the remaining jobs are not needed.
        if reports.send(Progress::Started(job.name.clone())).is_err() {
            return;
        }
        if reports.send(Progress::Done(index, Box::new(run_job(job)))).is_err() {
            return;
        }
    }
}

fn run_job(job: &Job) -> Result<JobResult, HollowError> {
    let mut simulation = Simulation::new(&job.scenario, Meter::disabled())?;
    if let Some(gateway) = job.recorded_gateway {
        simulation = simulation.recording_gateway(gateway);
    }
    let (outcome, recording) = simulation.run()?;
    Ok(JobResult { outcome, recording })
}
