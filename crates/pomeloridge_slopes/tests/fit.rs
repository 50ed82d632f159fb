//! Tests of the fit and of the table.

use pomeloridge_slopes::fit::{Point, fit};
use pomeloridge_slopes::row::{Row, Unit};
use pomeloridge_slopes::table::render;
use yare::parameterized;

#[parameterized(
    rising = { 3.0, 2.0 },
    falling = { 100.0, -0.5 },
    flat = { 7.0, 0.0 },
)]
fn the_fit_finds_a_line(base: f64, slope: f64) {
    let point = |size: f64| Point {
        size,
        value: slope.mul_add(size, base),
    };
    let found = fit(&[1.0, 10.0, 100.0].map(point));
    assert!((found.base - base).abs() < 1e-9, "{found:?}");
    assert!((found.slope - slope).abs() < 1e-9, "{found:?}");
    assert!((found.explained - 1.0).abs() < 1e-9, "{found:?}");
    assert!((found.at(1_000.0) - (base + slope * 1_000.0)).abs() < 1e-6);
}

#[test]
fn a_curve_has_a_low_r2() {
    let point = |size: f64| Point {
        size,
        value: size * size,
    };
    assert!(fit(&[1.0, 10.0, 100.0, 300.0].map(point)).explained < 0.97);
}

#[parameterized(
    none = { &[] },
    one = { &[Point { size: 5.0, value: 8.0 }] },
)]
fn too_few_points_give_a_flat_line(points: &[Point]) {
    let found = fit(points);
    assert!(found.slope.abs() < f64::EPSILON);
    assert!((found.base - points.first().map_or(0.0, |point| point.value)).abs() < f64::EPSILON);
}

#[test]
fn the_table_shows_points_base_and_slope() {
    let row = Row::measure("part", "what", "entry", Unit::Bytes, &[10, 20], |size| {
        size as f64 * 2.0 + 500.0
    });
    let text = render(&[row]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].starts_with("part"), "{text}");
    assert!(lines[1].contains("10:520 20:540"), "{text}");
    assert!(lines[1].ends_with("500   2.000  1.000"), "{text}");
}
