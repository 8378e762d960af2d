/// @file
/// Implements the deployment on loopback.

#include "deployment.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace review {

namespace {

constexpr int HeartbeatMs = 1'200;
constexpr std::uint16_t ReadyOffset = 1;
constexpr std::uint16_t ControlOffset = 2;
constexpr std::uint16_t DirectoryOffset = 3;
constexpr std::uint16_t RangeOffset = 4;
constexpr std::uint16_t RangeSize = 16;
constexpr const char *Program = "target/app/goldcrestnotchd";

const auto Start = std::chrono::steady_clock::now();

sockaddr_in endpointOf(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

bool bindable(const std::string &Address, std::uint16_t Port, int Type) {
  const int Probe = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  const auto Local = endpointOf(Address, Port);
  const bool Result = ::bind(Probe, reinterpret_cast<const sockaddr *>(&Local),
                             sizeof Local) == 0;
  ::close(Probe);
  return Result;
}

std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string trimmed(const std::string &Text) {
  const auto Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string::npos) {
    return {};
  }
  return Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1);
}

/// Reads until the buffer holds a text, and returns what precedes it.
bool readUntil(Socket &From, const std::string &End, std::string &Text) {
  auto Position = From.Buffer.find(End);
  while (Position == std::string::npos) {
    if (!From.read()) {
      return false;
    }
    Position = From.Buffer.find(End);
  }
  Text = From.Buffer.substr(0, Position);
  From.Buffer.erase(0, Position + End.size());
  return true;
}

/// Moves a number of bytes from the buffer to a text.
bool readExactly(Socket &From, std::size_t Count, std::string &Text) {
  while (From.Buffer.size() < Count) {
    if (!From.read()) {
      Text += From.Buffer;
      From.Buffer.clear();
      return false;
    }
  }
  Text += From.Buffer.substr(0, Count);
  From.Buffer.erase(0, Count);
  return true;
}

bool readChunks(Socket &From, std::string &Body) {
  while (true) {
    std::string Line;
    if (!readUntil(From, "\r\n", Line)) {
      return false;
    }
    const auto Size = std::strtoull(Line.c_str(), nullptr, 16);
    if (Size == 0) {
      return readUntil(From, "\r\n", Line);
    }
    std::string LineEnd;
    if (!readExactly(From, Size, Body) || !readExactly(From, 2, LineEnd)) {
      return false;
    }
  }
}

/// The attempt id of a request.
std::string attemptOf(const std::string &Request) {
  const std::string Name = "X-Goldcrestnotch-Attempt-Id: ";
  const auto Begin = Request.find(Name) + Name.size();
  return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
}

void parseHead(const std::string &Text, Message &Into) {
  std::size_t Begin = 0;
  bool First = true;
  while (Begin <= Text.size()) {
    const auto End = std::min(Text.find("\r\n", Begin), Text.size());
    const auto Line = Text.substr(Begin, End - Begin);
    Begin = End + 2;
    const auto Colon = Line.find(':');
    if (std::exchange(First, false)) {
      Into.FirstLine = Line;
    } else if (Colon != std::string::npos) {
      Into.Head[lowered(Line.substr(0, Colon))] =
          trimmed(Line.substr(Colon + 1));
    }
  }
}

} // namespace

std::int64_t elapsedMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

void pauseMs(std::int64_t Count) {
  std::this_thread::sleep_for(std::chrono::milliseconds{Count});
}

bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string{Value} != "0";
}

void Record::line(const std::string &Text) {
  const auto Now = elapsedMs();
  const std::lock_guard Lock{Mutex};
  Out << Now << " ms  " << Text << std::endl;
}

Socket::~Socket() {
  if (Descriptor >= 0) {
    ::close(Descriptor);
  }
}

std::unique_ptr<Socket> Socket::connect(const std::string &Address,
                                        std::uint16_t Port, int TimeoutMs) {
  auto Result = std::make_unique<Socket>(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Result->setTimeout(TimeoutMs);
  const int On = 1;
  ::setsockopt(Result->Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  const auto Remote = endpointOf(Address, Port);
  if (::connect(Result->Descriptor, reinterpret_cast<const sockaddr *>(&Remote),
                sizeof Remote) != 0) {
    ::close(std::exchange(Result->Descriptor, -1));
  }
  return Result;
}

bool Socket::write(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count = ::send(Descriptor, Bytes.data() + Sent,
                              Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Socket::read() {
  std::array<char, 16'384> Bytes{};
  const auto Count = ::recv(Descriptor, Bytes.data(), Bytes.size(), 0);
  if (Count <= 0) {
    return false;
  }
  Buffer.append(Bytes.data(), static_cast<std::size_t>(Count));
  return true;
}

bool Socket::peerGone() const {
  char Byte = 0;
  const auto Count = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Socket::setTimeout(int Millis) const {
  timeval Limit{};
  Limit.tv_sec = Millis / 1'000;
  Limit.tv_usec = static_cast<suseconds_t>(Millis % 1'000) * 1'000;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
}

void Socket::reset() {
  const linger Option{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
  ::close(std::exchange(Descriptor, -1));
}

std::string Message::field(const std::string &Name) const {
  const auto It = Head.find(lowered(Name));
  return It == Head.end() ? std::string{} : It->second;
}

int Message::status() const {
  const auto Space = FirstLine.find(' ');
  return Space == std::string::npos ? 0
                                    : std::atoi(FirstLine.c_str() + Space + 1);
}

Message readMessage(Socket &From, bool IsResponse) {
  Message Result;
  std::string HeadText;
  if (!readUntil(From, "\r\n\r\n", HeadText)) {
    return Result;
  }
  parseHead(HeadText, Result);
  const auto Length = Result.field("Content-Length");
  if (lowered(Result.field("Transfer-Encoding")) == "chunked") {
    Result.Complete = readChunks(From, Result.Body);
  } else if (!Length.empty() || !IsResponse) {
    Result.Complete = readExactly(
        From, std::strtoull(Length.c_str(), nullptr, 10), Result.Body);
  } else {
    while (From.read()) {
    }
    Result.Body = std::exchange(From.Buffer, {});
    Result.Complete = true;
  }
  return Result;
}

Replica::Replica(std::string Name, std::string Service, std::string Version,
                 std::string Address, Record &Log, Handler OnRequest)
    : Name{std::move(Name)}, Service{std::move(Service)}, Version{std::move(
                                                              Version)},
      Address{std::move(Address)}, Log{Log}, OnRequest{std::move(OnRequest)} {
  start();
  Acceptor = std::thread{[this] { accept(); }};
}

void Replica::start() {
  const int Opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Opened, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  auto Local = endpointOf(Address, Port);
  socklen_t Size = sizeof Local;
  if (::bind(Opened, reinterpret_cast<const sockaddr *>(&Local), Size) != 0 ||
      ::listen(Opened, 256) != 0 ||
      ::getsockname(Opened, reinterpret_cast<sockaddr *>(&Local), &Size) != 0) {
    throw std::runtime_error{"a replica cannot listen"};
  }
  Port = ntohs(Local.sin_port);
  BornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  Entries = 0;
  ++Boot;
  Listener = Opened;
}

void Replica::crash() {
  ++Boot;
  const int Opened = Listener.exchange(-1);
  if (Opened >= 0) {
    ::shutdown(Opened, SHUT_RDWR);
    ::close(Opened);
  }
}

Replica::~Replica() {
  Ending = true;
  crash();
  Acceptor.join();
  std::vector<std::thread> Running;
  {
    const std::lock_guard Lock{Mutex};
    for (const int Open : OpenSockets) {
      ::shutdown(Open, SHUT_RDWR);
    }
    Running.swap(Threads);
  }
  for (auto &Thread : Running) {
    Thread.join();
  }
}

std::string Replica::entry(const std::string &State) {
  return R"({"service":")" + Service + R"(","address":")" + Address + ":" +
         std::to_string(Port) + R"(","zone":"dakar-a","version":")" + Version +
         R"(","capacity":64,"state":")" + State +
         R"(","coldLeftMs":0,"born":)" + std::to_string(BornMs.load()) +
         R"(,"sequence":)" + std::to_string(++Entries) + "}";
}

std::string Replica::head(const Message &Request,
                          const std::string &MoreFields) const {
  return "HTTP/1.1 200 OK\r\nX-Goldcrestnotch-Attempt-Id: " +
         Request.field("X-Goldcrestnotch-Attempt-Id") +
         "\r\nX-Goldcrestnotch-Replica-Signature: signed." + Name + "." +
         Request.field("X-Goldcrestnotch-Attempt-Id") +
         "\r\nKeep-Alive: timeout=5\r\n" + MoreFields;
}

void Replica::accept() {
  while (!Ending) {
    const int Descriptor = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0) {
      pauseMs(1);
      continue;
    }
    const int On = 1;
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const std::lock_guard Lock{Mutex};
    OpenSockets.insert(Descriptor);
    Threads.emplace_back([this, Descriptor] { serve(Descriptor); });
  }
}

void Replica::serve(int Descriptor) {
  Socket Caller{Descriptor};
  const int OwnBoot = Boot;
  bool KeepAlive = true;
  while (KeepAlive && !Ending) {
    const auto Request = readMessage(Caller, false);
    if (!Request.Complete) {
      break;
    }
    if (Boot != OwnBoot) {
      ignore(Caller);
      break;
    }
    if (Request.field("X-Goldcrestnotch-Expect-Replica") != Name) {
      KeepAlive = Caller.write(
          "HTTP/1.1 421 Misdirected Request\r\nX-Goldcrestnotch-Replica-Id: " +
          Name + "\r\nX-Goldcrestnotch-Attempt-Id: " +
          Request.field("X-Goldcrestnotch-Attempt-Id") +
          "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    Log.line(Name + " runs " + Request.field("X-Goldcrestnotch-Attempt-Id"));
    KeepAlive = OnRequest(*this, Caller, Request);
    if (Boot != OwnBoot) {
      ignore(Caller);
    }
  }
  const std::lock_guard Lock{Mutex};
  OpenSockets.erase(Descriptor);
}

void Replica::ignore(Socket &Caller) {
  while (Caller.read()) {
    Caller.Buffer.clear();
  }
}

Daemon::Daemon(const std::string &Settings, const std::string &Log) {
  std::vector<std::string> Variables{"GOLDCRESTNOTCH_SETTINGS=" + Settings};
  for (char **Entry = environ; *Entry != nullptr; ++Entry) {
    const std::string Text{*Entry};
    if (Text.starts_with("PATH=") || Text.starts_with("HOME=") ||
        Text.starts_with("LANG=")) {
      Variables.push_back(Text);
    }
  }
  std::vector<char *> Environment;
  Environment.reserve(Variables.size() + 1);
  for (auto &Variable : Variables) {
    Environment.push_back(Variable.data());
  }
  Environment.push_back(nullptr);
  std::string Path = Program;
  std::string Argument = "--platform";
  std::array<char *, 3> Arguments{Path.data(), Argument.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const int Failure = posix_spawn(&Id, Program, &Actions, nullptr,
                                  Arguments.data(), Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Failure != 0) {
    throw std::runtime_error{std::string{"cannot start "} + Program};
  }
}

Daemon::~Daemon() {
  if (!Reaped) {
    signal(SIGCONT);
    signal(SIGKILL);
    ::waitpid(Id, nullptr, 0);
  }
}

void Daemon::signal(int Number) const {
  if (!Reaped) {
    ::kill(Id, Number);
  }
}

std::size_t Daemon::residentBytes() const {
  std::ifstream File{"/proc/" + std::to_string(Id) + "/statm"};
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool Daemon::ended(int TimeoutMs) {
  const auto Deadline = elapsedMs() + TimeoutMs;
  while (!Reaped) {
    Reaped = ::waitpid(Id, nullptr, WNOHANG) == Id;
    if (!Reaped && elapsedMs() >= Deadline) {
      return false;
    }
    pauseMs(Reaped ? 0 : 2);
  }
  return true;
}

Deployment::Deployment(int Machines, const std::string &Manifest, Record &Log)
    : Context{*new boost::asio::io_context}, Guard{Context.get_executor()},
      Machines{Machines}, Log{Log}, Store{Context, {"127.0.0.1", 0}} {
  const auto Process = static_cast<unsigned>(::getpid());
  Prefix = "127." + std::to_string(20 + Process % 200) + "." +
           std::to_string(Process / 200 % 250) + ".";
  for (BasePort = 18'200; !portsFree(); BasePort += 20) {
    if (BasePort > 28'000) {
      throw std::runtime_error{"no free ports"};
    }
  }
  std::string Template =
      (std::filesystem::temp_directory_path() / "goldcrestnotch-XXXXXX")
          .string();
  if (::mkdtemp(Template.data()) == nullptr) {
    throw std::runtime_error{"no temporary folder"};
  }
  Folder = Template;
  for (int I = 0; I < 4; ++I) {
    ContextThreads.emplace_back([this] { Context.run(); });
  }
  Store.put("keyed.op", "config", Manifest);
  Daemons.resize(static_cast<std::size_t>(Machines));
  Reporter = std::thread{[this] { report(); }};
}

Deployment::~Deployment() {
  Daemons.clear();
  Ending = true;
  Reporter.join();
  Replicas.clear();
  Context.stop();
  for (auto &Thread : ContextThreads) {
    Thread.join();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(Folder);
  }
}

void Deployment::report() {
  while (!Ending) {
    {
      const std::lock_guard Lock{Mutex};
      for (const auto &Member : Replicas) {
        if (Member->running() && !LeavingReplicas.contains(Member->name())) {
          Store.put("keyed.servers", Member->name(), Member->entry("ready"));
        }
      }
    }
    for (int Waited = 0; Waited < HeartbeatMs && !Ending; Waited += 20) {
      pauseMs(20);
    }
  }
}

Replica &Deployment::addReplica(const std::string &Name,
                                const std::string &Service,
                                Replica::Handler OnRequest,
                                const std::string &Version) {
  const std::lock_guard Lock{Mutex};
  Replicas.push_back(std::make_unique<Replica>(
      Name, Service, Version, Prefix + "200", Log, std::move(OnRequest)));
  Store.put("keyed.servers", Name, Replicas.back()->entry("ready"));
  return *Replicas.back();
}

void Deployment::drainReplica(const Replica &Leaving, int RemovalMs) {
  {
    const std::lock_guard Lock{Mutex};
    LeavingReplicas.insert(Leaving.name());
    for (const auto &Member : Replicas) {
      if (Member->name() == Leaving.name()) {
        Store.put("keyed.servers", Leaving.name(), Member->entry("draining"));
      }
    }
  }
  pauseMs(RemovalMs);
  Store.put("keyed.servers", Leaving.name(), std::nullopt);
}

std::string Deployment::address(int Machine) const {
  return Prefix + std::to_string(Machine + 1);
}

bool Deployment::portsFree() const {
  for (int I = 0; I < Machines; ++I) {
    for (int Number = BasePort; Number < BasePort + RangeOffset + RangeSize;
         ++Number) {
      const auto Port = static_cast<std::uint16_t>(Number);
      if (!bindable(address(I), Port, SOCK_STREAM) ||
          !bindable(address(I), Port, SOCK_DGRAM)) {
        return false;
      }
    }
  }
  return true;
}

void Deployment::setStorePort(int Machine, std::uint16_t Port) {
  StorePorts[Machine] = Port;
}

std::string Deployment::settings(int Machine) const {
  const std::string Zone =
      std::string{"dakar-"} + static_cast<char>('a' + Machine % 3);
  const auto At = [&](int Number, std::uint16_t Offset) {
    return "\"" + address(Number) + ":" + std::to_string(BasePort + Offset) +
           "\"";
  };
  std::string Seeds;
  for (int I = 0; I < std::min(Machines, 3); ++I) {
    Seeds += (I == 0 ? "" : ",") + At(I, ControlOffset);
  }
  const auto Custom = StorePorts.find(Machine);
  const auto StorePort =
      Custom == StorePorts.end() ? Store.port() : Custom->second;
  const auto First = BasePort + RangeOffset;
  return "nodeName = \"front-" + Zone + "-" + std::to_string(Machine) +
         "\"\nrole = \"edge\"\nmachineClass = \"front\"\n"
         "serves = [\"front\",\"control\",\"directory\"]\nip = \"" +
         address(Machine) + "\"\nzone = \"" + Zone +
         "\"\nregion = \"dakar\"\nportRange = [" + std::to_string(First) + "," +
         std::to_string(First + RangeSize - 1) + "]\nseeds = [" + Seeds +
         "]\nbootstrap = true\ninFaultBudget = false\n"
         "discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n"
         "[zones]\ndakar-a = \"dakar\"\ndakar-b = \"dakar\"\n"
         "dakar-c = \"dakar\"\n[listenAddrs]\nfront = " +
         At(Machine, 0) + "\nready = " + At(Machine, ReadyOffset) +
         "\ncontrol = " + At(Machine, ControlOffset) +
         "\ndirectory = " + At(Machine, DirectoryOffset) +
         "\n[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n"
         "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
         "[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
         "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
         "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
         "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
         "maxStretchMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n"
         "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 58\n"
         "exposureShare = 0.1\nexposureSlack = 50\nrollbackMs = 5000\n"
         "recoveryS = 12\neventDelayMs = 120\nretryAfterS = 10\n"
         "settle_ms = 1500\nttl_max_s = 5\n[platform]\naddress = "
         "\"127.0.0.1:" +
         std::to_string(StorePort) +
         "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
         "parts = 12\nappendMs = 2.0\npartMbS = 20.0\nreadMbS = 80.0\n"
         "recordBytes = 262144\ncallBytes = 2097152\nkeep_s = 20\n"
         "partMb = 200\nminTtlMs = 1000\n";
}

void Deployment::startDaemon(int Machine) {
  const auto Base = Folder + "/machine-" + std::to_string(Machine);
  std::ofstream{Base + ".toml"} << settings(Machine);
  auto &Entry = Daemons.at(static_cast<std::size_t>(Machine));
  Entry.reset();
  Entry = std::make_unique<Daemon>(Base + ".toml", Base + ".log");
}

bool Deployment::start() {
  for (int I = 0; I < Machines; ++I) {
    startDaemon(I);
  }
  for (int I = 0; I < Machines; ++I) {
    if (!waitUntilReady(I, 15'000)) {
      return false;
    }
  }
  return true;
}

bool Deployment::waitUntilReady(int Machine, int TimeoutMs) {
  const auto Deadline = elapsedMs() + TimeoutMs;
  while (elapsedMs() < Deadline) {
    const auto To = Socket::connect(
        address(Machine), static_cast<std::uint16_t>(BasePort + ReadyOffset),
        1'000);
    if (To->open() &&
        To->write("GET /api/readiness HTTP/1.1\r\nHost: r\r\n"
                  "Connection: close\r\n\r\n") &&
        readMessage(*To, true).status() == 200) {
      return true;
    }
    pauseMs(20);
  }
  return false;
}

Message Deployment::call(int Machine, const std::string &Request,
                         int TimeoutMs) const {
  const auto Id = attemptOf(Request);
  Log.line(Id + " is sent to machine " + std::to_string(Machine));
  Message Answer;
  const auto To = Socket::connect(address(Machine), BasePort, TimeoutMs);
  if (To->open() && To->write(Request)) {
    Answer = readMessage(*To, true);
  }
  Log.line(Id + " is answered " + std::to_string(Answer.status()) + " with " +
           std::to_string(Answer.Body.size()) + " bytes" +
           (Answer.Complete ? "" : ", not to the end"));
  return Answer;
}

} // namespace review
