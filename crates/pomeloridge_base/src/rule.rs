//! Descriptions of routing, admission and duty rules for the generated reference.

/// Description of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Heading in the reference.
    pub name: &'static str,
    /// What the rule does.
    pub description: &'static str,
    /// Why the rule exists.
    pub reason: &'static str,
    /// Settings and configuration fields that affect the rule.
    pub options: &'static str,
    /// Example with numbers.
    pub example: &'static str,
}

/// Declares rules as constants, documented by their own text, and the list `RULES`.
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

        /// All rules, in the order in which they apply.
        pub const RULES: &[$crate::rule::Rule] = &[$($item,)*];
    };
}
