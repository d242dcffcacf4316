// Package place decides what happens to a request once the best target of its own region is known:
// it goes there, is forwarded to another region, or is refused with a time after which the caller
// should retry. Package pick chooses the target.
//
// Costs are milliseconds until the first event, as package pick estimates them. The package does no
// input or output, reads no clock and draws no random numbers.
package place
