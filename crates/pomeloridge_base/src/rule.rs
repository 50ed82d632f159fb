//! How a rule of routing, admission or placement is described for the generated
//! reference.

/// One rule, as the reference describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Name.
    pub name: &'static str,
    /// What it does.
    pub what: &'static str,
    /// Why it exists.
    pub why: &'static str,
    /// What can be set.
    pub options: &'static str,
    /// A case as an example.
    pub example: &'static str,
}

/// Declares rules as constants whose documentation is their own text, and the list `RULES`.
#[macro_export]
macro_rules! rules {
    ($($item:ident $name:literal $what:literal $why:literal $options:literal $example:literal;)*) => {
        $(
            #[doc = concat!("What it does: ", $what)]
            #[doc = ""]
            #[doc = concat!("Why: ", $why)]
            #[doc = ""]
            #[doc = concat!("Options: ", $options)]
            #[doc = ""]
            #[doc = concat!("Example: ", $example)]
            pub const $item: $crate::rule::Rule = $crate::rule::Rule {
                name: $name,
                what: $what,
                why: $why,
                options: $options,
                example: $example,
            };
        )*

        /// Every rule, in the order in which they are met.
        pub const RULES: &[$crate::rule::Rule] = &[$($item,)*];
    };
}
