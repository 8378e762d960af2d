/// @file
/// Rollout records as JSON.

#include "goldcrestnotch/rollout/record.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch {

using nlohmann::json;

std::string encode(const RolloutRecord &Source) {
  if (const auto *Begun = std::get_if<MoveBegin>(&Source)) {
    return json{
        {"begin", json::parse(encode(std::vector<Change>{Begun->What}))}}
        .dump();
  }
  if (const auto *Seen = std::get_if<Evidence>(&Source)) {
    return json{{"seen", Seen->Name.str()},
                {"by", Seen->Observer.str()},
                {"old", internal::countsJson(Seen->Old)},
                {"new", internal::countsJson(Seen->New)}}
        .dump();
  }
  return R"({"tick":1})";
}

RolloutRecord decodeRollout(std::string_view Text) {
  try {
    const auto Source = json::parse(Text);
    if (Source.contains("begin")) {
      const auto Changes = decodeChanges(Source.at("begin").dump());
      return MoveBegin{std::get<Move>(Changes.front())};
    }
    if (Source.contains("seen")) {
      return Evidence{MoveId{Source.at("seen").get<std::string>()},
                      HolderId::parse(Source.at("by").get<std::string>()),
                      internal::countsOf(Source.at("old")),
                      internal::countsOf(Source.at("new"))};
    }
    return MoveTick{};
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  } catch (const std::bad_variant_access &) {
    throw std::invalid_argument{"a move's begin record holds no move"};
  }
}

} // namespace goldcrestnotch
