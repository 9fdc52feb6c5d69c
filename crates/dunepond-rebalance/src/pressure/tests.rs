use super::Pressure;

/// Seconds in which two of four brokers are pressed, and when it turns.
fn turns(pressed: impl Fn(f64) -> bool) -> Vec<(f64, bool)> {
    let (mut pressure, mut was, mut turned) = (Pressure::default(), false, Vec::new());
    for tenth in 0..400 {
        let now = f64::from(tenth) / 10.0;
        for (n, broker) in ["a", "b", "c", "d"].iter().enumerate() {
            pressure.heard(now, broker, n < 2 && pressed(now));
        }
        let is = pressure.pressed(now, 3.0);
        if is != was {
            turned.push((now, is));
        }
        was = is;
    }
    turned
}

#[test]
fn a_plan_does_not_stop_and_go_by_the_second() {
    assert_eq!(turns(|now| (10.0..20.0).contains(&now)), [(11.0, true), (25.0, false)]);
    // Half a second in each second is neither.
    assert_eq!(turns(|now| now.fract() < 0.5), []);
    assert_eq!(turns(|now| now < 5.0 || now.fract() < 0.5), [(1.0, true)]);
}

#[test]
fn a_broker_that_is_gone_presses_no_more() {
    let mut pressure = Pressure::default();
    pressure.heard(0.0, "a", true);
    assert!(!pressure.pressed(0.0, 3.0));
    assert!(pressure.pressed(1.0, 3.0));
    assert!(pressure.pressed(4.0, 3.0));
    assert!(!pressure.pressed(9.0, 3.0));
}
