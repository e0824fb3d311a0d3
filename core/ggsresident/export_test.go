package ggsresident

// NeverExpected is the number that polls for loads expect.
const NeverExpected = neverExpected
