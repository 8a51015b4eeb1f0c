// Package guavaconfig reads a daemon's settings file and manages the
// configuration document that all daemons share.
//
// A daemon reads its settings once, at start. The configuration document is the
// row Config of the platform's table; its version grows by one with each
// accepted change. Apply computes the next document from a document and a
// Change and does no I/O. A Change carries a unique ID, which makes
// resubmission idempotent, and the version that it is based on, so that the
// second of two concurrent changes is rejected.
//
// A Watcher caches the newest document known to a daemon. It polls the small
// row ConfigHead, which is written in the same commit as Config, and reads the
// document only when that row has changed. It also accepts documents from peers
// and never adopts a lower version. A task may be started only if a read of the
// head that began less than 2 s ago confirmed the document. A daemon that is
// partitioned or was paused therefore stops starting tasks in a zone that
// operators have since taken out of service.
package guavaconfig
