// Package pb holds the generated protobuf messages that the instances exchange
// and that the replicated log stores. Regenerate it with tools/generate.sh.
package pb
