/// @file
/// JSON encoding of rollout records.

#include "goldcrestnotch/rollout/record.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch {

using nlohmann::json;

std::string encode(const RolloutRecord &Source) {
  if (const auto *Begin = std::get_if<MoveBegin>(&Source)) {
    return json{
        {"begin", json::parse(encode(std::vector<Change>{Begin->Order}))}}
        .dump();
  }
  if (const auto *Report = std::get_if<Evidence>(&Source)) {
    return json{{"seen", Report->Name.str()},
                {"by", Report->Observer.str()},
                {"old", internal::countsJson(Report->Old)},
                {"new", internal::countsJson(Report->New)}}
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
    throw std::invalid_argument{
        "the begin record of a move contains another kind of change"};
  }
}

} // namespace goldcrestnotch
