package placement

import "github.com/cespare/xxhash/v2"

// Key is the hash of a chat's id. Zero means that the request belongs to no chat.
type Key uint64

// ChatKey returns the key of the chat with the given id, or zero for an empty id.
func ChatKey(chat string) Key {
	if chat == "" {
		return 0
	}
	return Key(xxhash.Sum64String(chat) | 1)
}

// EngineHash is the hash of an engine's id. It is stored with the engine, so that no
// selection has to hash strings.
type EngineHash uint64

// HashEngine returns the hash of an engine's id.
func HashEngine(id string) EngineHash { return EngineHash(xxhash.Sum64String(id)) }

// score is the rendezvous score of an engine for a chat; the highest wins.
func score(k Key, e EngineHash) uint64 {
	return mix(uint64(k) ^ mix(uint64(e)))
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
