//! Ordinary least squares over a few columns, by Gram and Schmidt's orthogonalisation (in its modified form).

/// The coefficient of each column such that their sum lies nearest to the values. No column may depend on the others.
pub(super) fn least_squares(columns: &[Vec<f64>], values: &[f64]) -> Vec<f64> {
    let mut directions: Vec<Vec<f64>> = Vec::new();
    // For each column its shares in the directions before it.
    let mut shares: Vec<Vec<f64>> = Vec::new();
    for column in columns {
        let mut rest = column.clone();
        let shares_of_column = directions.iter().map(|direction| take_out(direction, &mut rest)).collect();
        shares.push(shares_of_column);
        directions.push(rest);
    }
    let mut rest = values.to_vec();
    let mut coefficients: Vec<f64> =
        directions.iter().map(|direction| take_out(direction, &mut rest)).collect();
    for column in (0..columns.len()).rev() {
        let coefficient = coefficients[column];
        for (earlier, share) in shares[column].iter().enumerate() {
            coefficients[earlier] -= share * coefficient;
        }
    }
    coefficients
}

/// Takes the part along `direction` out of `rest`, and returns how many times it was in it.
fn take_out(direction: &[f64], rest: &mut [f64]) -> f64 {
    let share = dot(direction, rest) / dot(direction, direction);
    for (value, along) in rest.iter_mut().zip(direction) {
        *value -= share * along;
    }
    share
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter().zip(right).map(|(left, right)| left * right).sum()
}
