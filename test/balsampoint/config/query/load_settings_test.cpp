#include "balsampoint/config/query/load_settings.hpp"

#include "balsampoint/config/folder.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::config;

namespace {

constexpr std::string_view kSettings =
  "cluster: c\nhost: h1\nregion: r\nzone: z\n"
  "listen: {callers: '127.0.0.1:1', servers: '127.0.0.1:2',\n"
  "  operators: '127.0.0.1:3', peers: '[::1]:4'}\n"
  "seeds:\n  - {host: h1, zone: z, address: '127.0.0.1:4'}\n"
  "secret: 0123456789abcdef\n"
  "shutdown_delay: 250ms\n";

} // namespace

Test(load_settings, reads_a_host)
{
  const TemporaryFolder folder;
  const auto settings = LoadSettings(folder.Write("h.yaml", kSettings));
  cr_assert(settings.has_value());
  cr_assert(settings->listen.peers.Text() == "[::1]:4");
  cr_assert_eq(settings->listen.callers.port, 1);
  cr_assert(settings->shutdownDelay == std::chrono::milliseconds{ 250 });
  cr_assert_not(settings->dataFolder.has_value());
  cr_assert(settings->seeds.at(0).host == HostId{ "h1" });
}

Test(load_settings, reports_all_problems_at_once)
{
  const TemporaryFolder folder;
  const auto settings = LoadSettings(folder.Write(
    "h.yaml",
    std::string{ kSettings } + "voter: true\nlimits: {body_bytes: 0}\n"
                               "log: {format: xml}\nshutdown_dely: 1s\n"
                               "trace: {file: t, queue: -1}\n"));
  cr_assert_not(settings.has_value());
  cr_assert_eq(settings.error().size(), 5);
}
