// Package standin implements small replacements for external systems: a model
// engine and a plain service. Both speak the published protocols and are meant for
// trials and tests. No router or control replica depends on the package.
package standin
