package wire

// CoverageWhole is full coverage in the millionths that messages carry.
const CoverageWhole = 1_000_000
