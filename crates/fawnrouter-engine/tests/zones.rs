//! Zones in the engine: where calls go, and what a restart knows.

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
    let (span, carry, emergency, sharers) = (BudgetPeriod::Day, 0.0, 0.0, 1);
    let zones = ZoneSettings {
        own_zone: "kochi".into(),
        costs: BTreeMap::new(),
        default_cost: ZoneCost::Money(Money::from_units(1.0)),
        budgets: vec![Budget { from: None, to: None, period: span, limit, carry, emergency, sharers }],
        gateway_index: 0,
        points_per_unit: 0.2,
        health: HealthSettings::default(),
        phase: 0.0,
    };
    EngineSettings { zones: Some(zones), ..settings() }
}

/// Switch 70 is the first choice of every call, and far away; 71 is in the own zone.
fn two() -> Vec<Switch> {
    let mut switches = vec![switch(70), switch(71)];
    switches[0].entry.zone = "north".into();
    switches[1].entry.zone = "kochi".into();
    switches
}

/// Sends calls over two seconds; where they went.
fn sent(rig: &mut Rig, calls: usize) -> Vec<u32> {
    rig.take();
    for _ in 0..calls {
        rig.call(3);
        for (server, out) in rig.to_switches(Method::Invite) {
            rig.answer(server, &out, 200, &[]);
        }
        rig.pass(ms(2000 / calls as u64));
    }
    rig.to_switches(Method::Invite).iter().map(|(server, _)| server.0).collect()
}

#[test]
fn calls_stay_at_home_spill_when_home_is_gone_and_stop_when_the_budget_is() {
    let mut rig = Rig::new(in_kochi(15));
    rig.list(ListKind::Snapshot, two());
    let calm = sent(&mut rig, 20);
    assert!(calm.len() >= 20 && calm.iter().all(|s| *s == 71), "though 70 is the first choice: {calm:?}");
    // The switch at home is gone.
    rig.trunk_down(71);
    rig.refuses.insert(71);
    rig.list(ListKind::Snapshot, vec![two()[0].clone()]);
    rig.pass(ms(3000));
    let zones = rig.engine.zones().expect("on").clone();
    assert_eq!(zones.with(|z| z.state()), ZoneState::Down);
    let spilled = sent(&mut rig, 20).len() + sent(&mut rig, 20).len();
    assert!((5..=15).contains(&spilled), "{spilled}");
    let spent = zones.with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, spilled as u64);
    // A gateway that starts again in the same window knows what it spent.
    let saved = zones.with(|z| z.account().save());
    let mut again = Rig::new(in_kochi(15));
    again.now = rig.now;
    again.input(Input::ZoneAccount(Some(Box::new(saved))));
    let spent = again.engine.zones().expect("on").with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, spilled as u64);
    let mut blank = Rig::new(in_kochi(15));
    blank.input(Input::ZoneAccount(None));
    let spent = blank.engine.zones().expect("on").with(|z| z.account().budget_views()[0].1.spent.0);
    assert_eq!(spent, 15, "not known, so it counts as spent");
}
