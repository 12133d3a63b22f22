@0xd2b1f3a4c5e69788;

# Calls between instances over TCP. A released field or method is never renumbered, retyped or
# removed; new ones get the next number.

interface Peer {
  # Returns one page of the records that the callee has in force.
  snapshot @0 (request :Request) -> (reply :Reply);
}

struct Request {
  key @0 :UInt8;
  # Number of the key in the settings.
  sender @1 :Text;
  nonce @2 :Data;
  # Random bytes, which the code of the reply covers.
  leaf @3 :UInt16;
  # First leaf of the digest that is wanted.
  code @4 :Data;
  # Keyed BLAKE3 hash over sender, nonce and leaf.
}

struct Reply {
  next @0 :UInt16;
  # First leaf of the next page; 0 when this is the last one.
  records @1 :Data;
  # Records in the encoding of datagrams between instances.
  code @2 :Data;
  # Keyed BLAKE3 hash over the nonce, next and records.
}
