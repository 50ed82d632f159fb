//! How a rule of routing, admission or placement is described for the generated
//! reference.

/// One rule, as the reference describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name.
    pub name: &'static str,
    /// What it does.
    pub description: &'static str,
    /// Why it exists.
    pub reason: &'static str,
    /// What can be set.
    pub options: &'static str,
    /// A case as an example.
    pub example: &'static str,
}

/// Declares rules as constants whose documentation is their own text, and the list `RULES`.
#[macro_export]
macro_rules! rules {
    ($($item:ident $name:literal $description:literal $reason:literal $options:literal $example:literal;)*) => {
        $(
            #[doc = concat!("What it does: ", $description)]
            #[doc = ""]
            #[doc = concat!("Why: ", $reason)]
            #[doc = ""]
            #[doc = concat!("Options: ", $options)]
            #[doc = ""]
            #[doc = concat!("Example: ", $example)]
            pub const $item: $crate::rule::Rule = $crate::rule::Rule {
                name: $name,
                description: $description,
                reason: $reason,
                options: $options,
                example: $example,
            };
        )*

        /// Every rule, in the order in which they are met.
        pub const RULES: &[$crate::rule::Rule] = &[$($item,)*];
    };
}
