use super::AuditBudget;

#[test]
fn audits_stay_within_ratio() {
    let mut budget = AuditBudget::new(0.02, 4.0);
    let mut made = 0;
    for _ in 0..1000 {
        budget.earn(10);
        made += usize::from(budget.try_take()) + usize::from(budget.try_take());
    }
    assert!((190..=200).contains(&made), "{made}");
    // What a long time without audits earns is capped.
    budget.earn(1_000_000);
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 4);
}
