//! Test of traffic across zones in the engine: where calls go, and what the account holds after a restart.

mod common;

use std::collections::BTreeMap;

use common::*;
use fawnrouter_engine::fawnrouter::ListKind;
use fawnrouter_engine::sip::Method;
use fawnrouter_engine::zones::{
    Budget, BudgetPeriod, HealthSettings, Limit, Money, ZoneCost, ZoneSettings, ZoneState,
};
use fawnrouter_engine::{EngineSettings, Input, Switch};

fn in_kochi(calls: u64) -> EngineSettings {
    let limit = Limit { calls: Some(calls), money: None };
    let (period, carry, emergency, sharers) = (BudgetPeriod::Day, 0.0, 0.0, 1);
    let zones = ZoneSettings {
        own_zone: "kochi".into(),
        costs: BTreeMap::new(),
        default_cost: ZoneCost::Money(Money::from_units(1.0)),
        budgets: vec![Budget { from: None, to: None, period, limit, carry, emergency, sharers }],
        gateway_index: 0,
        points_per_unit: 0.2,
        health: HealthSettings::default(),
        phase: 0.0,
    };
    EngineSettings { zones: Some(zones), ..settings() }
}

/// Switch 70 is the first choice of every call, but in another zone; switch 71 is in the own zone.
fn two_switches() -> Vec<Switch> {
    let mut switches = vec![switch(70), switch(71)];
    switches[0].entry.zone = "north".into();
    switches[1].entry.zone = "kochi".into();
    switches
}

/// Sends calls over two seconds. Returns the switches that the set-ups went to.
fn send_calls(rig: &mut Rig, calls: usize) -> Vec<u32> {
    rig.take_sent();
    for _ in 0..calls {
        rig.call(3);
        for (server, out) in rig.requests_to_switches(Method::Invite) {
            rig.answer(server, &out, 200, &[]);
        }
        rig.advance(ms(2000 / calls as u64));
    }
    rig.requests_to_switches(Method::Invite).iter().map(|(server, _)| server.0).collect()
}

#[test]
fn calls_stay_in_the_own_zone_and_spill_within_the_budget_when_it_is_down() {
    let mut rig = Rig::new(in_kochi(15));
    rig.list(ListKind::Snapshot, two_switches());
    let calm = send_calls(&mut rig, 20);
    assert!(calm.len() >= 20 && calm.iter().all(|s| *s == 71), "though 70 is the first choice: {calm:?}");
    // The switch in the own zone is gone.
    rig.trunk_down(71);
    rig.unreachable.insert(71);
    rig.list(ListKind::Snapshot, vec![two_switches()[0].clone()]);
    rig.advance(ms(3000));
    let zones = rig.engine.zones().expect("on").clone();
    assert_eq!(zones.with(|z| z.state()), ZoneState::Down);
    let spilled = send_calls(&mut rig, 20).len() + send_calls(&mut rig, 20).len();
    assert!((5..=15).contains(&spilled), "{spilled}");
    let spent = zones.with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, spilled as u64);
    // A gateway that restarts in the same window restores what it spent.
    let saved = zones.with(|z| z.account().save());
    let mut restarted = Rig::new(in_kochi(15));
    restarted.now = rig.now;
    restarted.input(Input::ZoneAccount(Some(Box::new(saved))));
    let spent = restarted.engine.zones().expect("on").with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, spilled as u64);
    let mut without_account = Rig::new(in_kochi(15));
    without_account.input(Input::ZoneAccount(None));
    let spent = without_account.engine.zones().expect("on").with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, 15, "without an account the budget counts as spent");
}
