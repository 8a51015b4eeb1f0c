// Package guavaadmission decides which submissions are rejected, with which Retry-After, and
// how long a call may stay without an answer.
//
// Assumed failures: the store is silent, answers late or loses answers, and callers wait
// until their time is over for an answer that could have been "has not run"; and more work
// arrives than the workers complete, so that everything waits until it is of no use.
//
// Every rejection says that the submission has not run. It is only made for one that is not
// part of a commit that was or may have been applied. An accepted submission is never
// dropped.
//
// The package does no I/O. All times are passed in.
package guavaadmission
