// Package document packs large text documents for storage and transfer: whole,
// or as the difference to a document that the receiver holds.
package document
