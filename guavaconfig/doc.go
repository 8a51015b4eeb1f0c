// Package guavaconfig reads the settings of a daemon and keeps the
// configuration document of the whole system.
//
// The model: a daemon has settings, a file that it reads once at start. All
// daemons share one configuration document, the row Config of the platform's
// table, with one version that grows by one per accepted change. Apply makes
// the next document from a document and a Change and does no I/O. A Change has
// an ID, so that repeating it does nothing, and the version that it is based
// on, so that the second of two concurrent changes is refused.
//
// A Watcher holds the newest document that a daemon knows. It polls the small
// row ConfigHead, which changes in the same commit as Config, and reads the
// document when that row changed. It also takes documents from peers, and never
// adopts a lower version. Starting a task requires that a read of the head,
// begun less than 2 s ago, confirmed the document. A daemon that is cut off or
// was paused thereby stops starting tasks in a zone that operators have since
// taken out.
package guavaconfig
