//! Positions in the topics of the platform's store.
//!
//! A store that is restored from an older copy gives the offsets after the copy out again. It numbers the
//! eras between restores, so an era and an offset together are never given out twice.

use derive_more::Display;

/// Era of the store: the number of its restores, counted from an arbitrary number.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// Offset in a topic of the store. A position of a later era is higher than any of an earlier one.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{era}:{offset}")]
pub struct Position {
    /// Era in which the store gave out the offset.
    pub era: StoreEra,
    /// Offset.
    pub offset: u64,
}

impl Position {
    /// Returns the position of the record before this one in the era, or the first one of the era.
    pub fn before(self) -> Self {
        Self { offset: self.offset.saturating_sub(1), ..self }
    }
}
