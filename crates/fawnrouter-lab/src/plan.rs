//! Turns the faults of a script into a time line of actions, without I/O.

use crate::script::{FIRST_SWITCH, Fault, Script};

/// One change that the lab makes during a run. Switches are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Multiplies the script's rate of calls.
    SetCallRate(f64),
    /// Stops a switch's processing for this time in milliseconds.
    Stall(u32, u64),
    /// Makes a switch's work take this many times as long.
    SetSlowdown(u32, f64),
    /// Makes a switch accept everything and answer nothing, and removes it from the list.
    Silence(u32),
    /// Stops a switch and removes it from the list.
    Stop(u32),
    /// Restarts a switch cold.
    StartCold(u32),
    /// Lists a switch as draining.
    Drain(u32),
    /// Starts a cold switch with the first number in the pool of the second.
    Replace(u32, u32),
    /// Sets the delay of the list in milliseconds.
    SetListDelay(u64),
    /// Makes the list empty, or complete again.
    SetListEmpty(bool),
    /// Delays a switch's final responses by this time in milliseconds.
    SetAnswerDelay(u32, u64),
    /// Makes a switch ignore CANCEL, or obey it again.
    SetIgnoreCancel(u32, bool),
    /// Starts the flood with this index in the script's `troubles`.
    StartFlood(usize),
}

/// All actions with their times in milliseconds. Actions of the same time keep the script's order.
#[must_use]
pub fn timeline(script: &Script) -> Vec<(u64, FaultAction)> {
    let mut actions = Vec::new();
    let mut next_number = FIRST_SWITCH + script.switches.len() as u32;
    for (number, fault) in script.troubles.iter().enumerate() {
        let (from, to) = fault.span_ms();
        let mut each =
            |switches: &[u32], begin: &dyn Fn(u32) -> FaultAction, end: &dyn Fn(u32) -> FaultAction| {
                for id in switches {
                    actions.push((from, begin(*id)));
                    actions.push((to, end(*id)));
                }
            };
        match fault {
            Fault::Jump { times, .. } => actions
                .extend([(from, FaultAction::SetCallRate(*times)), (to, FaultAction::SetCallRate(1.0))]),
            Fault::Stall { switches, still_ms, every_ms, .. } => {
                let mut at = from;
                while at < to {
                    actions.extend(switches.iter().map(|id| (at, FaultAction::Stall(*id, *still_ms))));
                    at += (*every_ms).max(1);
                }
            }
            Fault::Slow { switches, times, .. } => {
                each(switches, &|id| FaultAction::SetSlowdown(id, *times), &|id| {
                    FaultAction::SetSlowdown(id, 1.0)
                });
            }
            Fault::Silent { switches, .. } => each(switches, &FaultAction::Silence, &FaultAction::StartCold),
            Fault::Restart { switches, .. } => each(switches, &FaultAction::Stop, &FaultAction::StartCold),
            Fault::RestartZone { zone, .. } => {
                let in_zone = |id: &u32| script.switches[(*id - FIRST_SWITCH) as usize].zone == *zone;
                let all = FIRST_SWITCH..FIRST_SWITCH + script.switches.len() as u32;
                let switches: Vec<u32> = all.filter(in_zone).collect();
                each(&switches, &FaultAction::Stop, &FaultAction::StartCold);
            }
            Fault::Replace { switches, .. } => {
                for id in switches {
                    actions.extend([
                        (from, FaultAction::Drain(*id)),
                        (from, FaultAction::Replace(next_number, *id)),
                        (to, FaultAction::Stop(*id)),
                    ]);
                    next_number += 1;
                }
            }
            Fault::LateList { delay_ms, .. } => {
                actions.extend([
                    (from, FaultAction::SetListDelay(*delay_ms)),
                    (to, FaultAction::SetListDelay(script.list_delay_ms)),
                ]);
            }
            Fault::EmptyList { .. } => actions
                .extend([(from, FaultAction::SetListEmpty(true)), (to, FaultAction::SetListEmpty(false))]),
            Fault::LateAnswers { switches, late_ms, .. } => {
                each(switches, &|id| FaultAction::SetAnswerDelay(id, *late_ms), &|id| {
                    FaultAction::SetAnswerDelay(id, 0)
                });
            }
            Fault::Flood { .. } => actions.push((from, FaultAction::StartFlood(number))),
            Fault::CrossCancel { switches, .. } => {
                each(switches, &|id| FaultAction::SetIgnoreCancel(id, true), &|id| {
                    FaultAction::SetIgnoreCancel(id, false)
                });
            }
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_kind_of_fault_has_its_actions_in_order_of_time() {
        let text = include_str!("../../../examples/bad-day.yaml");
        let script = Script::parse("bad-day.yaml", text).expect("the example is sound");
        let actions = timeline(&script);
        assert!(actions.windows(2).all(|w| w[0].0 <= w[1].0));
        let mut kinds: Vec<&str> = script.troubles.iter().map(Fault::name).collect();
        kinds.sort_unstable();
        kinds.dedup();
        assert_eq!(kinds.len(), 11, "the example shows every kind: {kinds:?}");
        let replaced = actions.iter().find(|(_, a)| matches!(a, FaultAction::Replace(..)));
        assert!(matches!(replaced, Some((_, FaultAction::Replace(new, old))) if new > old));
    }

    #[test]
    fn script_with_unknown_switch_is_rejected() {
        let text =
            include_str!("../../../examples/bad-day.yaml").replacen("switches: [70]", "switches: [99]", 1);
        let error = Script::parse("d.yaml", &text).expect_err("no switch 99");
        assert!(error.lines()[0].contains("there is no switch 99"), "{error}");
    }
}
