//! Points and lengths of time: sums and differences stop at the ends of the range, and only the number is serialised.

use ciborium::Value;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};

const LAST: u64 = u64::MAX;

#[test]
fn points_saturate_at_the_origin_and_at_the_largest_number() {
    let second = Micros::millis(1_000);
    assert_eq!(Timestamp(LAST).plus(second), Timestamp(LAST));
    assert_eq!(Timestamp(1).minus(second), Timestamp(0));
    assert_eq!(Timestamp(1).since(Timestamp(2)), Micros(0));
    assert_eq!(Timestamp::millis(3).since(Timestamp::millis(1)), Micros::millis(2));
    assert_eq!(UnixTime(LAST).plus(second), UnixTime(LAST));
    assert_eq!(UnixTime(1).minus(second), UnixTime(0));
    assert_eq!(UnixTime(1).since(UnixTime(2)), Micros(0));
    assert_eq!(UnixTime::millis(3).since(UnixTime::millis(1)), Micros::millis(2));
}

#[test]
fn lengths_saturate_at_the_largest_number() {
    assert_eq!(Micros(LAST).plus(Micros(1)), Micros(LAST));
    assert_eq!(Micros::millis(LAST), Micros(LAST));
    assert_eq!(Timestamp::millis(LAST), Timestamp(LAST));
    assert_eq!(UnixTime::millis(LAST), UnixTime(LAST));
}

// Two processes of different versions exchange times in hand-over frames. A type that is more than its number there would
// make the other's frames unreadable.
#[test]
fn times_are_serialised_as_plain_numbers() {
    let serialized = |moment: &Moment| Value::serialized(moment).expect("a value");
    let entry = |name: &str, number: u64| (Value::Text(name.into()), Value::Integer(number.into()));
    let moment = Moment { mono: Timestamp(7), wall: UnixTime(9) };
    assert_eq!(serialized(&moment), Value::Map(vec![entry("mono", 7), entry("wall", 9)]));
    assert_eq!(Value::serialized(&Micros(5)).expect("a value"), Value::Integer(5.into()));
}
