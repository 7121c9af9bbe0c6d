#include <cstdint>
#include <cstdlib>
#include <string>

#include "damaskroute/peer/datagram_codec.h"

// Decodes the input unsigned, which must fail, and signed, because otherwise no input would pass
// the check of the authentication tag.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const damaskroute::PeerKeys kKeys{{1, "secret of the fuzzer"}, {}};
  damaskroute::DatagramCodec codec(kKeys);
  std::string bytes(reinterpret_cast<const char*>(data), size);
  if (codec.Decode(bytes).ok()) std::abort();
  bytes.insert(bytes.begin(), 1);
  damaskroute::MacTag tag = damaskroute::MacKey(kKeys.current.secret).Compute({bytes});
  bytes.append(tag.data(), tag.size());
  auto datagram = codec.Decode(bytes);
  if (!datagram.ok()) return 0;
  auto encoded = codec.Encode(*datagram);
  if (!encoded.ok() || *encoded != bytes) std::abort();
  return 0;
}
