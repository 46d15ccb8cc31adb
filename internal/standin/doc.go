// Package standin implements small replacements for external systems: a model
// engine and a plain service. Both use the protocols between routers and targets that
// docs/interfaces/targets.md describes, and are meant for trials and tests. No router
// or control replica depends on the package.
package standin
