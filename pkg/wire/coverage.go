package wire

// CoverageWhole is full coverage in millionths, the unit of coverage in messages.
const CoverageWhole = 1_000_000
