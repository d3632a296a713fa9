use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::{prop_assert, prop_assert_eq, proptest};

use super::AvailabilityIndex;

/// Free processors of a worker, in thousandths of a core, beyond the range of the last bucket too.
fn millicores() -> impl Strategy<Value = u32> {
    0_u32..300_000
}

proptest! {
    /// Guards against an index that lists a position twice, as its room would then be given away
    /// twice, and against one that misses a position with enough room.
    #[test]
    fn each_position_with_room_is_listed_once(
        initial in vec(millicores(), 1..40),
        lowered in vec((any::<proptest::sample::Index>(), millicores()), 0..60),
        wanted in millicores(),
    ) {
        let mut index = AvailabilityIndex::default();
        let mut free = initial;
        for &millicores in &free {
            index.push(millicores);
        }
        for (position, millicores) in lowered {
            let position = position.index(free.len());
            free[position] = free[position].min(millicores);
            let number = u32::try_from(position).expect("a small position");
            index.lower(number, free[position]);
        }
        let mut listed: Vec<u32> = index.at_least(wanted).collect();
        let count = listed.len();
        listed.sort_unstable();
        listed.dedup();
        prop_assert_eq!(listed.len(), count);
        for (position, &millicores) in (0_u32..).zip(&free) {
            prop_assert!(millicores < wanted || listed.contains(&position));
        }
    }
}
