// Package place decides what becomes of a request once the best target of its own region
// is known: it goes there, to another region, or back to its caller, who is told when to
// come again. Package pick chooses the target.
//
// Costs are milliseconds until the first event, as package pick estimates them. There is
// no input or output, no clock and no chance in it.
package place
