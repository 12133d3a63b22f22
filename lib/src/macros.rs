//! Macros that derive common sets of traits.

/// Derives the traits of a plain value type that is also sent to other processes or stored.
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the traits of a small value type that is copied, ordered and hashed, and is also sent to
/// other processes or stored.
macro_rules! copy_type {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )*
    };
}
