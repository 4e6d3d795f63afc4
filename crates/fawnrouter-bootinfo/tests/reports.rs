//! Load reports, in both forms.

use fawnrouter::LoadReport;
use fawnrouter_bootinfo::{parse_report, settings};
use serde_json::json;

#[test]
fn a_report_in_a_line_is_read_as_in_the_simulators_list_and_nonsense_is_left_out() {
    let boot = json!({"balancers": 1, "stats": {"names": ["free", "size"]},
        "classes": [{"name": "voice", "onTimeNs": 1, "hardLimitNs": 1}]});
    let (_, names) = settings(&boot).unwrap();
    let listed = names.report_from_json(&json!([3, 87]));
    assert_eq!(parse_report("free:3;size:87"), listed);
    assert_eq!(names.report_from_json(&json!({"size": 87, "free": 3})), listed);
    assert_eq!((listed.free_circuits, listed.total_circuits), (Some(3.0), Some(87.0)));
    assert_eq!(parse_report("free:-1;size:NaN;;x;can_take:inf;odd:1"), LoadReport::default());
}
