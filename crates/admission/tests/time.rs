//! Tests of the types for points in time and lengths of time: sums and differences saturate, and a value is
//! serialised as its number alone.

use ciborium::Value;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};

const LARGEST: u64 = u64::MAX;

#[test]
fn points_saturate_at_the_origin_and_at_the_largest_number() {
    let second = Micros::millis(1_000);
    assert_eq!(Timestamp(LARGEST).plus(second), Timestamp(LARGEST));
    assert_eq!(Timestamp(1).minus(second), Timestamp(0));
    assert_eq!(Timestamp(1).since(Timestamp(2)), Micros(0));
    assert_eq!(Timestamp::millis(3).since(Timestamp::millis(1)), Micros::millis(2));
    assert_eq!(UnixTime(LARGEST).plus(second), UnixTime(LARGEST));
    assert_eq!(UnixTime(1).minus(second), UnixTime(0));
    assert_eq!(UnixTime(1).since(UnixTime(2)), Micros(0));
    assert_eq!(UnixTime::millis(3).since(UnixTime::millis(1)), Micros::millis(2));
}

#[test]
fn lengths_and_constructors_saturate_at_the_largest_number() {
    assert_eq!(Micros(LARGEST).plus(Micros(1)), Micros(LARGEST));
    assert_eq!(Micros::millis(LARGEST), Micros(LARGEST));
    assert_eq!(Timestamp::millis(LARGEST), Timestamp(LARGEST));
    assert_eq!(UnixTime::millis(LARGEST), UnixTime(LARGEST));
}

// Two processes of different versions exchange times in hand-over frames. If a time were serialised as
// anything but its number, the other process could not decode the frames.
#[test]
fn times_are_serialised_as_plain_numbers() {
    let serialized = |moment: &Moment| Value::serialized(moment).expect("the time is serialised");
    let entry = |name: &str, number: u64| (Value::Text(name.into()), Value::Integer(number.into()));
    let moment = Moment { mono: Timestamp(7), wall: UnixTime(9) };
    assert_eq!(serialized(&moment), Value::Map(vec![entry("mono", 7), entry("wall", 9)]));
    assert_eq!(Value::serialized(&Micros(5)).expect("the time is serialised"), Value::Integer(5.into()));
}
