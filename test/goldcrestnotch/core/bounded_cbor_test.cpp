/// @file
/// Tests of decoding CBOR that other processes have written.

#include "goldcrestnotch/core/bounded_cbor.hpp"

#include <string>

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

using nlohmann::json;

/// @brief Arrays of one element, nested to a depth.
std::string nested(std::size_t Depth) {
  return std::string(Depth - 1, '\x81') + '\x80';
}

TEST(BoundedCbor, DocumentIsDecoded) {
  const json Source{{"a", {1, 2.5, "b", nullptr, true}}};
  const auto Bytes = json::to_cbor(Source);
  EXPECT_EQ(
      decodeCbor({reinterpret_cast<const char *>(Bytes.data()), Bytes.size()}),
      Source);
}

TEST(BoundedCbor, DepthIsLimited) {
  EXPECT_NO_THROW((void)decodeCbor(nested(MaxCborDepth)));
  EXPECT_THROW((void)decodeCbor(nested(MaxCborDepth + 1)), json::exception);
  EXPECT_THROW((void)decodeCbor(nested(1'000'000)), json::exception);
}

TEST(BoundedCbor, MalformedInputIsAnError) {
  EXPECT_THROW((void)decodeCbor(""), json::exception);
  EXPECT_THROW((void)decodeCbor("\x82\x01"), json::exception);
}

} // namespace
} // namespace goldcrestnotch
