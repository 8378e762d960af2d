/// @file
/// A parser for CBOR that stops at a depth.

#include "goldcrestnotch/core/bounded_cbor.hpp"

#include <algorithm>

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// @brief Accepts any document up to a depth and keeps nothing of it.
class DepthCheck : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const std::string &) override {
    return true;
  }
  bool string(std::string &) override { return true; }
  bool binary(json::binary_t &) override { return true; }
  bool key(std::string &) override { return true; }
  bool start_object(std::size_t) override { return ++Depth <= MaxCborDepth; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return ++Depth <= MaxCborDepth; }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool leave() noexcept {
    --Depth;
    return true;
  }

  std::size_t Depth = 0;
};

/// @brief Whether a document may be nested too deeply. Each array and object
/// begins with a byte of the form `10xxxxxx`, so most documents need no parse
/// to tell.
[[nodiscard]] static bool mayBeTooDeep(std::string_view Bytes) {
  constexpr unsigned KindMask = 0xC0;
  constexpr unsigned ContainerKind = 0x80;
  const auto Containers = std::count_if(Bytes.begin(), Bytes.end(), [](char C) {
    return (static_cast<unsigned char>(C) & KindMask) == ContainerKind;
  });
  return static_cast<std::size_t>(Containers) > MaxCborDepth;
}

} // namespace internal

json decodeCbor(std::string_view Bytes) {
  internal::DepthCheck Check;
  if (internal::mayBeTooDeep(Bytes) &&
      !json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                       json::input_format_t::cbor)) {
    throw json::parse_error::create(
        101, std::size_t{0}, "CBOR is malformed or nested too deeply", nullptr);
  }
  return json::from_cbor(Bytes.begin(), Bytes.end());
}

} // namespace goldcrestnotch
