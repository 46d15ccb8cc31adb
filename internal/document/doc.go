// Package document compresses large text documents for storage and transfer, and
// encodes a document as a delta against a document that the receiver already has. It
// does no I/O and does not parse the text.
package document
