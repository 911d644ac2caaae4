"""The tour of the README: write once, read your own write anywhere."""

from asyncio import run, sleep
from sys import argv

from asyncmy import Connection, connect
from asyncmy.errors import OperationalError

#: Seconds until the proxy started in the background must answer.
START_LIMIT_S = 20.0

CREATE = (
    "CREATE TABLE IF NOT EXISTS orders"
    " (id BIGINT AUTO_INCREMENT PRIMARY KEY, parish VARCHAR(64), kits INT)"
)
ORDER = (
    "/* redwing: kind=order, idempotency_key=order-17 */"
    " INSERT INTO orders (parish, kits) VALUES ('san-jeronimo', 12)"
)
TOLERANT = "/* redwing: max_staleness_ms=2000 */ SELECT kits FROM orders"


async def dial(host: str, port: int) -> Connection:
    """Connect as an organisation, as soon as the proxy is up."""
    waited = 0.0
    while True:
        try:
            return await connect(
                host=host,
                port=port,
                user="diocese-puno",
                password="tour-key",
                database="catalogue-1",
                autocommit=True,
            )
        except OperationalError:
            if waited > START_LIMIT_S:
                raise
            await sleep(0.2)
            waited += 0.2


async def ask(connection: Connection, sql: str) -> list:
    """Run a statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def main(host: str, port: int) -> None:
    """Order twice, see one order, read it with a token."""
    connection = await dial(host, port)
    await ask(connection, CREATE)
    await ask(connection, ORDER)
    await ask(connection, ORDER)
    print("orders:", len(await ask(connection, "SELECT id FROM orders")))
    token = (await ask(connection, "SELECT @@redwing_token"))[0][0]
    other = await dial(host, port)
    marked = f"/* redwing: token={token} */ SELECT kits FROM orders"
    print("read elsewhere:", await ask(other, marked))
    print("read of a stated age:", await ask(other, TOLERANT))
    connection.close()
    other.close()


if __name__ == "__main__":
    address = argv[1:] or ["127.1.1.99", "13306"]
    run(main(address[0], int(address[1])))
