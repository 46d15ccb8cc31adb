// Package standin holds small stand-ins for the outside systems: a model
// engine and a plain service. They speak the published protocols, for trying
// the fleet out and for tests; nothing of the product depends on them.
package standin
