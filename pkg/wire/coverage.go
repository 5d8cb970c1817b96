package wire

// FullCoverage is full coverage in millionths, the unit of coverage in messages.
const FullCoverage = 1_000_000
