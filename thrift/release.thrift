// A release as the platform keeps it and as daemons exchange it: one head,
// content-addressed chunks, and at large sites index chunks between them. docs/design/configuration.md explains the choices.

namespace cpp ibismux.release.gen

// One chunk of a head or an index chunk: where a group of objects stands.
struct ChunkRef {
  1: i64 generation,  // For which it was written; part of its name.
  2: binary hash,     // XXH3-128, 16 bytes, high first; empty: no objects.
}

// One accepted change of one object.
struct Change {
  1: i64 sequence,      // Position in the audit trail, from 1.
  2: string change_id,
  3: string object,     // kind:name
  4: i64 from_version,  // 0: did not exist.
  5: i64 to_version,    // 0: deleted.
  6: string who,
  7: i64 when_ms,       // Wall-clock time since 1970 of the operator's write.
  8: i64 generation,    // That accepted it.
}

struct Head {
  1: i64 generation,
  2: string publication,   // Id of the update that wrote this head.
  3: i64 objects_version,  // Of the platform's store; the objects as of it.
  4: i64 change_count,     // Sequence of the newest change.
  5: list<ChunkRef> chunks,   // By bucket; empty where there are indexes.
  6: list<Change> recent,     // In order of sequence.
  7: list<ChunkRef> indexes,  // Index chunks; empty at small sites.
}

// An index chunk: where the chunks of a run of buckets stand.
struct IndexChunk {
  1: list<ChunkRef> chunks,
}

struct ChunkObject {
  1: string object,
  2: i64 version,
  3: i64 generation,
  4: string change_id,
  5: string spec,  // JSON
}

struct ChunkRejection {
  1: string object,
  2: i64 version,
  3: i64 generation,
  4: string change_id,
  5: string reason,
}

struct Chunk {
  1: list<ChunkObject> objects,
  2: list<ChunkRejection> rejections,
}
