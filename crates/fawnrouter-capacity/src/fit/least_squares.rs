//! Ordinary least squares over a few columns, by the modified Gram-Schmidt process.

/// Coefficients of the linear combination of the columns that is nearest to the values. The columns must be
/// linearly independent.
pub(super) fn least_squares(columns: &[Vec<f64>], values: &[f64]) -> Vec<f64> {
    let mut directions: Vec<Vec<f64>> = Vec::new();
    // For each column, its coefficients along the orthogonal directions before it.
    let mut projections: Vec<Vec<f64>> = Vec::new();
    for column in columns {
        let mut rest = column.clone();
        let column_projections =
            directions.iter().map(|direction| subtract_projection(direction, &mut rest)).collect();
        projections.push(column_projections);
        directions.push(rest);
    }
    let mut rest = values.to_vec();
    let mut coefficients: Vec<f64> =
        directions.iter().map(|direction| subtract_projection(direction, &mut rest)).collect();
    for column in (0..columns.len()).rev() {
        let column_coefficient = coefficients[column];
        for (earlier, projection) in projections[column].iter().enumerate() {
            coefficients[earlier] -= projection * column_coefficient;
        }
    }
    coefficients
}

/// Subtracts the projection on `direction` from `rest` and returns its coefficient.
fn subtract_projection(direction: &[f64], rest: &mut [f64]) -> f64 {
    let coefficient = dot(direction, rest) / dot(direction, direction);
    for (value, along) in rest.iter_mut().zip(direction) {
        *value -= coefficient * along;
    }
    coefficient
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter().zip(right).map(|(left, right)| left * right).sum()
}
