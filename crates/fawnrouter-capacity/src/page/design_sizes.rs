//! The sizes that series are read at: the harder reading of the users' letter and the easier one.

use crate::design;
use crate::figures::{Cause, Per, Quantity, Report, Role, Series, Size};
use crate::fit::{Fit, estimate};

/// The sizes that a series is read at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DesignSizes {
    /// The harder reading; figures are held against their budgets at this one.
    pub(super) harder: f64,
    /// The easier reading, where there are two.
    pub(super) easier: Option<f64>,
}

/// The sizes of a report: how long a list is, it has to tell.
pub(super) struct Sizes {
    /// Bytes of a list of all core switches.
    whole_list_bytes: Option<f64>,
}

impl Sizes {
    pub(super) fn of_report(report: &Report) -> Self {
        let mut series = report.runs.iter().flat_map(|run| &run.series);
        let whole_list_bytes = series.find(|series| is_length_of_list(series)).and_then(whole_list_bytes);
        Self { whole_list_bytes }
    }

    pub(super) fn of(&self, size: Size) -> DesignSizes {
        let (harder, easier) = match size {
            Size::SwitchesSeen => (design::GATEWAYS, Some(design::SWITCHES_PER_SERVICE)),
            Size::Gateways => (design::GATEWAYS, None),
            Size::CallsPerSecond => {
                (design::SET_UPS_PER_SECOND_AT_MAX_DEPTH, Some(design::SET_UPS_PER_SECOND_AT_ONE_HOP))
            }
            Size::Depth => (f64::from(design::DEPTH), Some(1.0)),
            Size::ListBytes => match self.whole_list_bytes {
                Some(bytes) => (bytes, Some(design::MAX_LIST_ANSWER_BYTES)),
                None => (design::MAX_LIST_ANSWER_BYTES, None),
            },
            Size::ChangesPerDay => (design::CHANGES_PER_DAY, None),
        };
        DesignSizes { harder, easier }
    }
}

/// Whether a series tells how many bytes a list of so many core switches has.
fn is_length_of_list(series: &Series) -> bool {
    let Series { role, cause, quantity, per, size, .. } = series;
    (role, cause, quantity, per, size)
        == (&Role::GatewayControl, &Cause::List, &Quantity::BytesIn, &Per::Event, &Size::SwitchesSeen)
}

fn whole_list_bytes(series: &Series) -> Option<f64> {
    let fit = Fit::from_points(&series.points);
    let fit = fit.as_ref().map_err(|error| *error);
    estimate(&series.points, fit, design::GATEWAYS).map(|estimate| estimate.value)
}
