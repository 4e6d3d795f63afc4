//! Plays of which only counts are taken, several at a time: counts do not depend on what else runs.

use std::num::NonZero;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::thread::{available_parallelism, scope};

use crate::hollow::HollowError;
use crate::hollow::meter::Meter;
use crate::hollow::outcome::Outcome;
use crate::hollow::recording::Recording;
use crate::hollow::scenario::Scenario;
use crate::hollow::simulation::World;

/// Plays at a time, at the most: each may hold more than a gigabyte.
const MOST_AT_A_TIME: usize = 4;

/// A play that is to be made.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub name: String,
    pub scenario: Scenario,
    /// The gateway whose work is measured afterwards.
    pub watched: Option<usize>,
}

/// What it showed.
#[derive(Debug)]
pub(super) struct JobResult {
    pub outcome: Outcome,
    pub recording: Recording,
}

enum News {
    Begins(String),
    Done(usize, Box<Result<JobResult, HollowError>>),
}

/// Makes all plays; their results in the order in which they were given. The largest begin first.
pub(super) fn play_all(
    plays: &[Planned],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<JobResult>, HollowError> {
    let mut order: Vec<usize> = (0..plays.len()).collect();
    order.sort_by_key(|place| work(&plays[*place].scenario));
    let waiting = Mutex::new(order);
    let (tell, news) = channel();
    let mut results: Vec<(usize, JobResult)> = Vec::new();
    scope(|scope| {
        for _ in 0..at_a_time() {
            let (waiting, tell) = (&waiting, tell.clone());
            scope.spawn(move || play_waiting(plays, waiting, &tell));
        }
        drop(tell);
        for one in news {
            match one {
                News::Begins(name) => progress(&name),
                News::Done(place, result) => results.push((place, (*result)?)),
            }
        }
        Ok::<(), HollowError>(())
    })?;
    results.sort_by_key(|(place, _)| *place);
    Ok(results.into_iter().map(|(_, played)| played).collect())
}

/// How much there is to do, roughly: calls, and the seconds that gateways stand there.
fn work(scenario: &Scenario) -> u64 {
    let seconds = (scenario.measurement_end() + scenario.settle).as_secs_f64();
    let of_a_gateway = seconds + scenario.traffic.calls_per_second * scenario.traffic.seconds as f64;
    (f64::from(scenario.gateways) * of_a_gateway) as u64
}

fn at_a_time() -> usize {
    available_parallelism().map_or(1, NonZero::get).min(MOST_AT_A_TIME)
}

fn play_waiting(plays: &[Planned], waiting: &Mutex<Vec<usize>>, tell: &Sender<News>) {
    // The list is whole between any two steps, so that another thread's panic spoils nothing.
    let next = || waiting.lock().unwrap_or_else(std::sync::PoisonError::into_inner).pop();
    while let Some(place) = next() {
        let planned = &plays[place];
        // Nobody listens any more after an error elsewhere: there is nothing left to do.
        if tell.send(News::Begins(planned.name.clone())).is_err() {
            return;
        }
        if tell.send(News::Done(place, Box::new(run_scenario(planned)))).is_err() {
            return;
        }
    }
}

fn run_scenario(planned: &Planned) -> Result<JobResult, HollowError> {
    let mut world = World::new(&planned.scenario, Meter::off())?;
    if let Some(gateway) = planned.watched {
        world = world.watching(gateway);
    }
    let (outcome, recording) = world.play()?;
    Ok(JobResult { outcome, recording })
}
